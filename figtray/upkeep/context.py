"""What the control of hosts uses during one term of the leader."""

import dataclasses

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import base
from figtray.fleet import messages
from figtray.leadership import term as terms
from figtray.scheduling import scheduler as schedulers
from figtray.scheduling import writer as writers
from figtray.upkeep import host_orders


@dataclasses.dataclass(frozen=True)
class TermContext:
    """Objects that the rebalancer, the moves and the waves of a term share.

    Attributes:
        scheduler: the Scheduler.
        writer: the Writer.
        term: the Term.
        clock: the Clock.
        host_client: the HostClient.
        node_name: name of this node, which holds the orders.
        bounds: times that the platform promises.
        orders: the HostOrders.
    """

    scheduler: schedulers.Scheduler
    writer: writers.Writer
    term: terms.Term
    clock: clock_lib.Clock
    host_client: base.HostClient
    node_name: str
    bounds: object
    orders: host_orders.HostOrders

    def move(self, host_id, pool):
        """Order a move under the epoch of the term; see HostClient.move().

        Returns:
            True if the move is under way or done; False if it was refused.
        """
        return self._order(self.host_client.move, host_id, pool)

    def begin_upkeep(self, host_id, wave):
        """Order an upkeep; see HostClient.begin_upkeep() and move()."""
        return self._order(self.host_client.begin_upkeep, host_id, wave)

    def _order(self, send, host_id, argument):
        """Send an order for a host, unless the term may end before.

        An order that is refused for a later epoch shows that another node
        leads, so it ends the term: no further order may carry its epoch.
        """
        sender = messages.OrderSender(
            self.node_name, self.term.epoch, self.term.valid_until_ms
        )
        try:
            return send(host_id, argument, sender)
        except errors.StaleEpoch as exc:
            self.term.end(str(exc))
            return False
