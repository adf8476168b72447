"""Interfaces of the clients of workers, the host service and the adviser."""


class WorkerClient:
    """Client of all workers; an order names the id of the worker it is for.

    A call is sent on a connection on which the incarnation has answered that
    it is for, so that no other one under its id executes it. That holds if
    the worker keeps its connections open, and carries orders out at once.

    All calls to a worker raise:
        CallNotSent: the worker did not receive the order.
        OtherIncarnation: the same, as another incarnation under its id has
            answered; not raised by report().
        ReplyLost: the order may have been executed, or may be executed
            seconds later.
        IncarnationMismatch: a worker with another id answered and did
            nothing.
        StaleEpoch: the worker has seen a higher token and did nothing.
    """

    def start(self, worker, order, timeout_ms):
        """Start a run.

        Args:
            worker: the Worker.
            order: a StartOrder.
            timeout_ms: limit of the call in milliseconds.

        Returns:
            Started, or a verdict.NotRun if the worker has refused.
        """
        raise NotImplementedError

    def stop(self, worker, task, run, epoch, timeout_ms):
        """Stop a run; if it has not started yet, it never will.

        Args:
            worker: the Worker.
            task: name of the task.
            run: number of the run.
            epoch: the fencing token; see messages.StartOrder.
            timeout_ms: limit of the call in milliseconds.
        """
        raise NotImplementedError

    def report(
        self, worker, epoch, acknowledged, lease_until_ms, wait_ms, timeout_ms
    ):
        """Renew the lease of a worker's runs and read its report.

        Args:
            worker: the Worker.
            epoch: the fencing token; see messages.StartOrder.
            acknowledged: number of an EndedRun; the worker may forget it and
                all before it.
            lease_until_ms: end of the lease on the worker's clock; None
                leaves it unchanged.
            wait_ms: longest time for which the worker may delay the reply
                until a run ends.
            timeout_ms: limit of the call in milliseconds.

        Returns:
            A Report; that of another incarnation under the id, without any
            effect on it, if that has answered.
        """
        raise NotImplementedError

    def pace(self, worker, task, run, percent, epoch, timeout_ms):
        """Limit a run to a share of its speed.

        Args:
            worker: the Worker.
            task: name of the task.
            run: number of the run.
            percent: the share, 0 to 100.
            epoch: the fencing token; see messages.StartOrder.
            timeout_ms: limit of the call in milliseconds.
        """
        raise NotImplementedError

    def disconnect(self, worker):
        """Close the connections to a worker."""

    def close(self):
        """Close all connections."""


class HostClient:
    """Client of the platform's host service, for its list and for orders.

    All orders raise:
        CallNotSent: the service did not receive the order, or it was too
            late to send it.
        ReplyLost: the order may have been executed.
        StaleEpoch: the host has had an order with a later epoch, and this
            one did nothing; only where the platform checks epochs.
    """

    def list_hosts(self):
        """Return all hosts as a tuple of Host.

        Raises:
            HostListUnavailable: the service was not reached, or its reply
                was lost or not usable.
        """
        raise NotImplementedError

    def move(self, host_id, pool, sender):
        """Move a host to another pool; all runs on it end at once.

        Args:
            host_id: the host.
            pool: name of its new pool.
            sender: the messages.OrderSender.

        Returns:
            True if the move is under way or done; False if it was refused.
        """
        raise NotImplementedError

    def begin_upkeep(self, host_id, wave, sender):
        """Begin the upkeep of a host; all runs on it end at once.

        Args:
            host_id: the host.
            wave: number of the Wave.
            sender: the messages.OrderSender.

        Returns:
            True if the upkeep is under way or done; False if it was refused.
        """
        raise NotImplementedError


class Adviser:
    """Client of the external service that approves workers for a step."""

    def advise(self, step, worker_ids, timeout_ms):
        """Ask which workers may run a step.

        Args:
            step: `JOB.OCCURRENCE.STEP`.
            worker_ids: ids of the candidates.
            timeout_ms: limit of the call in milliseconds.

        Returns:
            An Advice.

        Raises:
            CallNotSent: the service did not receive the call, or is busy.
            ReplyLost: there was no reply.
        """
        raise NotImplementedError
