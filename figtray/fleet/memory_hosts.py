"""In-memory hosts with faults, for tests and the stand-in site."""

import dataclasses

from figtray import errors
from figtray.fleet import base
from figtray.fleet import model


class MemoryHosts(base.HostClient):
    """Simulated hosts; a test ends their moves and upkeeps by finish().

    Attributes:
        hosts: mapping of host id to fleet Host.
        accepted_orders: (kind, host id, argument, node name, epoch) of
            accepted calls.
        down: whether the service fails all calls.
        on_worker_end: called with the Host whose worker ends.
        replies_to_lose: number of next replies that are lost.
        highest_epochs: mapping of host id to the highest epoch of an order
            for it; None if epochs are not checked.
        stale_orders: (host id, epoch) of the orders that were refused for a
            lower epoch.
    """

    def __init__(self, hosts=()):
        self.hosts = {host.host_id: host for host in hosts}
        self.accepted_orders = []
        self.down = False
        self.on_worker_end = lambda host: None
        self.replies_to_lose = 0
        self.highest_epochs = None
        self.stale_orders = []

    def list_hosts(self):
        if self.down:
            raise errors.HostListUnavailable(detail='injected')
        return tuple(self.hosts.values())

    def move(self, host_id, pool, sender):
        return self._accept_order(
            'move', host_id, pool, sender, model.HostState.MOVING
        )

    def begin_upkeep(self, host_id, wave, sender):
        return self._accept_order(
            'upkeep', host_id, wave, sender, model.HostState.UPKEEP
        )

    def finish(self, host_id, pool=None, worker_id=''):
        """Bring a host back up after its move or upkeep."""
        host = self.hosts[host_id]
        self.hosts[host_id] = dataclasses.replace(
            host,
            state=model.HostState.UP,
            pool=pool or host.pool,
            worker_id=worker_id,
        )

    def _check_epoch(self, host_id, epoch):
        if epoch < self.highest_epochs.get(host_id, 0):
            self.stale_orders.append((host_id, epoch))
            raise errors.StaleEpoch(
                detail=f'{host_id} has had an order with a later epoch'
            )
        self.highest_epochs[host_id] = epoch

    def _accept_order(self, kind, host_id, argument, sender, state):
        if self.down:
            raise errors.CallNotSent(address='hosts', detail='injected')
        host = self.hosts[host_id]
        if self.highest_epochs is not None:
            self._check_epoch(host_id, sender.epoch)
        if host.state != model.HostState.UP:
            return False
        self.accepted_orders.append(
            (kind, host_id, argument, sender.node_name, sender.epoch)
        )
        self.on_worker_end(host)
        self.hosts[host_id] = dataclasses.replace(
            host, state=state, worker_id=''
        )
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise errors.ReplyLost(address='hosts', detail='injected')
        return True
