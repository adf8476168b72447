"""Control loop of the leader over hosts: waves and rebalancing."""

import concurrent.futures
import dataclasses

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.upkeep import context
from figtray.upkeep import host_orders
from figtray.upkeep import rebalancer
from figtray.upkeep import wave_state
from figtray.upkeep import waves

# Wait after a failed call to the host service or the store.
RETRY_DELAY_MS = 300
RECONCILE_INTERVAL_MS = 120
# Concurrent calls that move hosts.
MOVE_THREADS = 8
LOAD_LOG_INTERVAL_MS = 1000


@dataclasses.dataclass(frozen=True)
class _TermParts:
    """Objects that act on hosts during one term."""

    orders: host_orders.HostOrders
    wave_runner: waves.WaveRunner
    pool_rebalancer: rebalancer.PoolRebalancer


class HostController:
    """Carries out waves and rebalances pools during a leader's term.

    Args:
        store: the Store.
        clock: the Clock.
        view: the OperatorView.
        host_client: the HostClient.
        node_name: name of this node.
        bounds: times that the platform promises.
        encode_wave_status: called with (wave number, completed); returns
            the store key and the bytes of the status shown to operators.
    """

    def __init__(
        self,
        store,
        clock,
        view,
        host_client,
        node_name,
        bounds,
        encode_wave_status,
    ):
        self._store = store
        self._clock = clock
        self._view = view
        self._host_client = host_client
        self._node_name = node_name
        self._bounds = bounds
        self._encode_wave_status = encode_wave_status
        self._loads_logged_ms = 0
        self._unreadable = unreadable.UnreadableLog(clock)

    def run(self, scheduler, writer, term):
        """Reconcile hosts every RECONCILE_INTERVAL_MS until the term ends.

        Args:
            scheduler: the Scheduler.
            writer: the Writer.
            term: the Term.
        """
        with concurrent.futures.ThreadPoolExecutor(
            MOVE_THREADS, thread_name_prefix='moves'
        ) as executor:
            self._reconcile_until_end(scheduler, writer, term, executor)

    def _reconcile_until_end(self, scheduler, writer, term, executor):
        parts = None
        while not term.ended.is_set():
            self._log_loads(scheduler, parts)
            try:
                if term.valid():
                    if parts is None:
                        parts = self._build_parts(
                            scheduler, writer, term, executor
                        )
                    self._reconcile(scheduler, parts)
            except errors.HostListUnavailable as exc:
                log.emit(catalogue.HOST_LIST_FAILED, detail=str(exc))
                self._clock.wait(term.ended, RETRY_DELAY_MS)
            except errors.StoreUnavailable as exc:
                log.emit(catalogue.TAKEOVER_FAILED, detail=str(exc))
                self._clock.wait(term.ended, RETRY_DELAY_MS)
            self._clock.wait(term.ended, RECONCILE_INTERVAL_MS)

    def _reconcile(self, scheduler, parts):
        """Read the host list and act on it once.

        Args:
            scheduler: the Scheduler.
            parts: the _TermParts.

        Raises:
            HostListUnavailable: the list could not be read.
        """
        cfg = self._view.config()
        if cfg is None:
            return
        listed = {
            host.host_id: host for host in self._host_client.list_hosts()
        }
        scheduler.reconcile_hosts(listed)
        if not scheduler.loaded.is_set():
            return
        parts.orders.begin_pass()
        parts.orders.drop_expired()
        # An upkeep that the former leader has begun may not be stored yet,
        # but counts towards max_down, so waves wait.
        if parts.orders.former_orders_expired():
            parts.wave_runner.reconcile(
                list(self._view.waves().values()), listed
            )
        parts.pool_rebalancer.reconcile(
            cfg, listed, self._view.evacuated_zones()
        )

    def _log_loads(self, scheduler, parts):
        """Log the load of each pool each LOAD_LOG_INTERVAL_MS."""
        now_ms = self._clock.now_ms()
        if now_ms - self._loads_logged_ms < LOAD_LOG_INTERVAL_MS:
            return
        self._loads_logged_ms = now_ms
        for pool, load in scheduler.pool_loads().items():
            size = parts.pool_rebalancer.sizes.get(pool) if parts else None
            fields = dataclasses.asdict(load)
            outlook = fields.pop('outlook')
            outlook['pattern'] = load.outlook.pattern.value
            log.emit(
                catalogue.POOL_LOAD,
                pool=pool,
                **fields,
                **outlook,
                wanted=size.wanted if size else None,
                reason=size.reason.value if size else None,
            )

    def _build_parts(self, scheduler, writer, term, executor):
        """Return a _TermParts with the state that earlier leaders stored."""
        term_context = context.TermContext(
            scheduler,
            writer,
            term,
            self._clock,
            self._host_client,
            self._node_name,
            self._bounds,
            self._build_orders(writer, term),
        )
        return _TermParts(
            term_context.orders,
            self._build_wave_runner(term_context),
            rebalancer.PoolRebalancer(term_context, executor),
        )

    def _build_orders(self, writer, term):
        item = self._store.get(host_orders.ORDERS_KEY)
        former_host_ids = ()
        if item is not None:
            writer.set_revision(item.key, item.mod_revision)
            record = self._unreadable.read(
                item.key, host_orders.decode, item.value
            )
            former_host_ids = None if record is None else record.host_ids
        return host_orders.HostOrders(
            writer, term, self._clock, self._bounds.lease_ms, former_host_ids
        )

    def _build_wave_runner(self, term_context):
        writer = term_context.writer
        records = {}
        for item in self._store.range(wave_state.RECORD_PREFIX).items:
            writer.set_revision(item.key, item.mod_revision)
            # Upkeeps of a wave whose record is unreadable begin anew: the
            # platform accepts an order again that it has carried out.
            try:
                number = wave_state.wave_number(item.key)
                records[number] = wave_state.decode(item.value)
            except errors.UnreadableMessage as exc:
                self._unreadable.note(item.key, exc)
        for wave in self._view.waves().values():
            key, _ = self._encode_wave_status(wave.number, False)
            status = self._store.get(key)
            if status is not None:
                writer.set_revision(key, status.mod_revision)

        def publish(number, completed):
            key, value = self._encode_wave_status(number, completed)
            writer.enqueue(key, lambda: value)

        return waves.WaveRunner(term_context, publish, records)
