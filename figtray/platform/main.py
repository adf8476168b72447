"""figtray-node: serves callers on every entry host; one node leads."""

import sys
import threading
import uuid

from figtray import admin
from figtray import clock as clock_lib
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.ingress import limits as ingress_limits
from figtray.jobs import host_memory
from figtray.jobs import intake as intakes
from figtray.leadership import elector
from figtray.leadership import term as terms
from figtray import listener
from figtray import metrics as metrics_lib
from figtray.platform import adviser
from figtray.platform import documents
from figtray.platform import hosts
from figtray.platform import job_api
from figtray.platform import settings as settings_lib
from figtray.platform import store as stores
from figtray.platform import view as views
from figtray.platform import workers
from figtray import program
from figtray.scheduling import service
from figtray.store import instrumented
from figtray import threads
from figtray.upkeep import controller

PROGRAM = 'figtray-node'
JOB_API_THREADS = 12
# Further threads for reads and cancellations while all others are taken.
RESERVE_THREADS = 2
MAX_BODY_BYTES = 256 * 1024
# The operator view counts as outdated this long before the strictest bound:
# keyed calls are then refused and no task is started, so that withdrawn keys
# and zones taken out of service are out of use within their bounds.
STALENESS_MARGIN_MS = 1500
# A working watch confirms the view about once a second; with a lower limit,
# the view would count as outdated in between.
MIN_STALENESS_LIMIT_MS = 1200
# The load balancer takes a node out of rotation after two failed probes, one
# per second.
LEAVE_ROTATION_MS = 2300
SHUTDOWN_MARGIN_MS = 900
# The store calls of requests end this long before their connections are
# closed, so that each request that was read is answered.
ANSWER_MARGIN_MS = 500
METRICS_PORT_OFFSET = 2
# A host with fewer than two cores delays its candidacy by this time for each
# missing core, so that a larger host is more likely to become the leader.
CANDIDACY_DELAY_PER_CORE_MS = 150


def main():
    """Run the program; never return."""
    try:
        settings = settings_lib.load()
    except errors.SettingsError as exc:
        sys.stderr.write(f'{PROGRAM}: {exc}\n')
        sys.exit(program.ExitStatus.INVALID)
    log.setup('info', log.STDOUT, PROGRAM, settings.node_name)
    status = program.serve(PROGRAM, run, settings, reload=_reload)
    log.flush()
    sys.exit(status)


def _reload():
    """Log whether the settings file is valid; changes need a restart."""
    try:
        settings = settings_lib.load()
    except errors.SettingsError as exc:
        log.emit(catalogue.SETTINGS_INVALID, detail=str(exc))
        return
    log.emit(catalogue.SETTINGS_RELOADED, node=settings.node_name)


def run(settings, stop):
    """Serve until asked to stop, then finish the open requests.

    Args:
        settings: the Settings.
        stop: threading.Event that starts a graceful stop.
    """
    _Node(settings).run(stop)


def max_staleness_ms(bounds):
    """Return the staleness up to which the operator view counts as fresh.

    Args:
        bounds: the settings' Bounds.

    Returns:
        Milliseconds.
    """
    strictest_ms = min(bounds.revoke_ms, bounds.evacuate_ms)
    return max(MIN_STALENESS_LIMIT_MS, strictest_ms - STALENESS_MARGIN_MS)


def front_closes_ms(stopped_ms, bounds):
    """Return when a node that stops closes its callers' connections.

    Args:
        stopped_ms: local time at which the stop began.
        bounds: the settings' Bounds.

    Returns:
        Local time in milliseconds.
    """
    return stopped_ms + int(bounds.grace_s * 1000) - SHUTDOWN_MARGIN_MS


def calls_end_ms(stopped_ms, bounds):
    """Return by when the store calls of callers' requests end in a stop.

    Args and returns: as front_closes_ms().
    """
    return front_closes_ms(stopped_ms, bounds) - ANSWER_MARGIN_MS


class _Node:
    """Components of one node process."""

    def __init__(self, settings):
        self._settings = settings
        self._clock = clock_lib.SystemClock()
        self._metrics = metrics_lib.Metrics(PROGRAM, settings.node_name)
        self._store = instrumented.InstrumentedStore(
            stores.PlatformStore(settings.platform.address, self._clock),
            self._metrics,
        )
        bounds = settings.bounds
        self._view = views.OperatorView(
            self._store, self._clock, max_staleness_ms(bounds)
        )
        self._metrics.observe_view_age(
            documents.OPERATOR_PREFIX, self._view.staleness_ms
        )
        self._stopping = threading.Event()
        self._ended = threading.Event()
        self._worker_client = workers.PlatformWorkers(self._clock)
        self._leader_service = self._build_leader_service()
        self._elector = elector.LeaderElector(
            self._store,
            self._clock,
            terms.LeaderRecord(
                settings.node_name, uuid.uuid4().hex, settings.listen.front
            ),
            self._leader_service.lead,
            self._candidacy_delay_ms(),
        )
        self._intake = intakes.Intake(self._store, self._clock)
        self._listeners = self._build_listeners()
        self._metrics.observe_callers(self._listeners[0].state)

    def run(self, stop):
        """Serve until `stop` is set, then finish the open requests."""
        self._spawn(lambda: self._view.run(self._ended), 'operator view')
        announcer = host_memory.Announcer(
            self._store,
            self._clock,
            self._settings.node_name,
            self._settings.limits.memory_mb,
        )
        self._spawn(lambda: announcer.run(self._ended), 'host memory')
        campaign = self._spawn(lambda: self._elector.run(stop), 'campaign')
        for server in self._listeners:
            server.start()
        stop.wait()
        stopped_ms = self._clock.now_ms()
        self._stopping.set()
        self._intake.end_calls_by(
            calls_end_ms(stopped_ms, self._settings.bounds)
        )
        # A plain delay: the event is set only at the end of this method.
        self._clock.wait(self._ended, LEAVE_ROTATION_MS)
        self._close_front(stopped_ms)
        campaign.join(SHUTDOWN_MARGIN_MS / 1000)
        self._ended.set()

    def _close_front(self, stopped_ms):
        """Stop serving callers, with time for their open requests.

        The listeners for probes and metrics serve until the process ends.

        Args:
            stopped_ms: local time at which the stop began.
        """
        front = self._listeners[0]
        remaining_ms = (
            front_closes_ms(stopped_ms, self._settings.bounds)
            - self._clock.now_ms()
        )
        cut_off = front.close(max(0, remaining_ms), self._clock)
        log.emit(catalogue.FRONT_CLOSED, cut_off=cut_off)

    def _spawn(self, target, name):
        return threads.spawn(target, name, self._ended, self._clock)

    def _build_leader_service(self):
        settings = self._settings
        host_client = hosts.PlatformHosts(settings.cloud.address, self._clock)
        host_controller = controller.HostController(
            self._store,
            self._clock,
            self._view,
            host_client,
            settings.node_name,
            settings.bounds,
            _wave_status_entry,
        )
        adviser_client = None
        if settings.advice:
            adviser_client = adviser.PlatformAdviser(
                settings.advice, self._clock
            )
        return service.LeaderService(
            self._store,
            self._clock,
            self._view,
            views.WorkerList(self._store, self._view, self._clock).read,
            self._worker_client,
            adviser_client,
            host_controller.run,
            settings.bounds,
            self._metrics,
            settings.limits.memory_mb,
        )

    def _build_listeners(self):
        """Return the listeners for callers, probes and metrics."""
        settings = self._settings
        app = job_api.JobApi(
            self._view, self._intake, self._clock, self._metrics
        )
        host = settings.ip
        metrics_port = settings.internal_ports[0] + METRICS_PORT_OFFSET
        return [
            listener.Listener(
                settings.listen.front,
                app,
                threads=JOB_API_THREADS,
                limits=ingress_limits.of_host(
                    settings.limits.memory_mb, settings.limits.max_fds
                ),
                max_body_bytes=MAX_BODY_BYTES,
                reserve_threads=RESERVE_THREADS,
                read_request_limits=self._request_limits,
            ),
            listener.Listener(
                settings.listen.ready,
                job_api.ReadinessApp(self._unready_reason),
            ),
            admin.AdminListener(
                f'{host}:{metrics_port}',
                self._unready_reason,
                metrics=self._metrics,
            ),
        ]

    def _request_limits(self):
        cfg = self._view.config()
        return cfg.request_limits if cfg else ingress_limits.RequestLimits()

    def _candidacy_delay_ms(self):
        limits = self._settings.limits
        cores = limits.cpu_share * limits.cores
        return int(CANDIDACY_DELAY_PER_CORE_MS * max(0, 2 - cores))

    def _unready_reason(self):
        if self._stopping.is_set():
            return 'stopping'
        if self._view.config() is None:
            return 'no configuration yet'
        if not self._view.is_fresh():
            return 'out of touch with the store'
        return ''


def _wave_status_entry(number, completed):
    return (
        f'{documents.WAVE_STATUS_PREFIX}{number}',
        documents.encode_wave_status(completed),
    )


if __name__ == '__main__':
    main()
