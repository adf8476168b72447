"""Latest starts of workers, which prove that earlier incarnations ended."""

import dataclasses


@dataclasses.dataclass
class Births:
    """Latest start of a worker that has reported, by what it occupies.

    No two incarnations of workers have the same id, address or host at the
    same time. A report proves the id and the address of a worker, but not its
    host.
    """

    ids: dict[str, int] = dataclasses.field(default_factory=dict)
    addresses: dict[str, int] = dataclasses.field(default_factory=dict)
    hosts: dict[str, int] = dataclasses.field(default_factory=dict)

    def follow(self, incarnation, with_host):
        """Return whether a later one has what an incarnation had.

        Args:
            incarnation: the Incarnation.
            with_host: whether its host counts.
        """
        born_ms = incarnation.born_ms
        return (
            self.ids.get(incarnation.worker_id, 0) > born_ms
            or self.addresses.get(incarnation.address, 0) > born_ms
            or bool(incarnation.host_id)
            and with_host
            and self.hosts.get(incarnation.host_id, 0) > born_ms
        )


def latest_births(worker_states):
    """Return the Births of the WorkerStates that have reported."""
    births = Births()
    ids, addresses, hosts = births.ids, births.addresses, births.hosts
    for worker_state in worker_states:
        if not worker_state.has_reported:
            continue
        worker = worker_state.worker
        born_ms = worker.born_ms
        if ids.get(worker.worker_id, 0) < born_ms:
            ids[worker.worker_id] = born_ms
        if addresses.get(worker.address, 0) < born_ms:
            addresses[worker.address] = born_ms
        if worker_state.on_host and hosts.get(worker.host_id, 0) < born_ms:
            hosts[worker.host_id] = born_ms
    return births
