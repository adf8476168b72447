"""Interfaces of workers, of the host service and of the adviser."""


class WorkerClient:
    """Orders to workers; each names the life of the worker it is meant for.

    All methods raise:
        CallNotSent: the worker did not get the order.
        ReplyLost: it may have been executed, or may be seconds later.
        IncarnationMismatch: another life of a worker answered and did nothing.
        StaleEpoch: the worker has seen a later leader and did nothing.
    """

    def start(self, worker, order, timeout_ms):
        """Start a run.

        Args:
            worker: the Worker.
            order: a StartOrder.
            timeout_ms: limit of the call in milliseconds.

        Returns:
            Started, or a NotRun verdict: the worker refused.
        """
        raise NotImplementedError

    def stop(self, worker, task, run, epoch, timeout_ms):
        """Stop a run; one that isn't there will never start.

        Args:
            worker: the Worker.
            task: name of the task.
            run: number of the run.
            epoch: number of the leader's term.
            timeout_ms: limit of the call in milliseconds.
        """
        raise NotImplementedError

    def report(
        self, worker, epoch, acknowledged, lease_until_ms, wait_ms, timeout_ms
    ):
        """Renew the lease of all that runs there, and read what does.

        Args:
            worker: the Worker.
            epoch: number of the leader's term.
            acknowledged: number of the last end that may be forgotten.
            lease_until_ms: end of the lease on the worker's clock; None
                leaves it as it is.
            wait_ms: time for which the reply may wait for an end.
            timeout_ms: limit of the call in milliseconds.

        Returns:
            A Report.
        """
        raise NotImplementedError

    def pace(self, worker, task, run, percent, epoch, timeout_ms):
        """Let a run work at a share of its speed.

        Args:
            worker: the Worker.
            task: name of the task.
            run: number of the run.
            percent: 0 to 100.
            epoch: number of the leader's term.
            timeout_ms: limit of the call in milliseconds.
        """
        raise NotImplementedError

    def disconnect(self, worker):
        """Close the connections to a worker."""

    def close(self):
        """Close all connections."""


class HostClient:
    """The platform's list of hosts and its moves and upkeeps.

    All methods raise:
        CallNotSent: the service did not get the call.
        ReplyLost: it may have been executed.
    """

    def list_hosts(self):
        """Return all hosts as a tuple of Host.

        Raises:
            HostListUnavailable: the service did not answer; also for a
                lost reply.
        """
        raise NotImplementedError

    def move(self, host_id, pool, node_name, epoch):
        """Move a host to another pool; everything on it ends at once.

        Args:
            host_id: the host.
            pool: name of its new pool.
            node_name: name of the calling node.
            epoch: number of the leader's term.

        Returns:
            True if the move is under way or done; False if it was refused.
        """
        raise NotImplementedError

    def begin_upkeep(self, host_id, wave, node_name, epoch):
        """Begin the upkeep of a host; everything on it ends at once.

        Args:
            host_id: the host.
            wave: number of the Wave.
            node_name: name of the calling node.
            epoch: number of the leader's term.

        Returns:
            True if the upkeep is under way or done; False if refused.
        """
        raise NotImplementedError


class Adviser:
    """Outside service that approves workers for a step."""

    def advise(self, step, worker_ids, timeout_ms):
        """Ask which workers may run a step.

        Args:
            step: `JOB.OCCURRENCE.STEP`.
            worker_ids: ids of the candidates.
            timeout_ms: limit of the call in milliseconds.

        Returns:
            An Advice.

        Raises:
            CallNotSent: the service did not get the call, or is busy.
            ReplyLost: there was no reply.
        """
        raise NotImplementedError
