"""Metrics: OpenTelemetry instruments, text page and optional push."""

import dataclasses
import enum
import threading

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk import resources

import figtray
from figtray import release

# 3700 ms is the limit for the start of urgent work (docs/design.md, 1.2).
BUCKETS_MS = (
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1000,
    2000,
    3700,
    5000,
    10_000,
    20_000,
    60_000,
)
BUCKETS_PERCENT = (25, 50, 70, 80, 90, 100, 110, 125, 150, 200, 400)
MAX_TEAMS = 100
# A stop waits for the last push; with the push interval as time-out this took
# 7 s while the receiver was down.
PUSH_TIMEOUT_MS = 2000
OTHER_LABEL_VALUE = 'other'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class TakeoverPhase(enum.Enum):
    """Part of a takeover, measured from the start of the term."""

    LOADED = 'loaded'
    FIRST_START = 'first-start'
    ACCOUNTED = 'accounted'


@dataclasses.dataclass(frozen=True)
class _Waits:
    """What the tasks of the leader wait for; see Metrics.record_waits()."""

    awaited: int
    held: dict
    longest_lasting_ms: int


class Metrics:
    """The metrics of one process.

    Teams and queues beyond the first `max_teams` that are measured, counted
    together by name, have the label `other`, so that the number of series is
    bounded.

    Args:
        program: name of the program.
        instance: name of this process, such as its slot.
        settings: MetricsSettings, or None for the text page alone.
    """

    def __init__(self, program, instance='', settings=None):
        self._max_teams = settings.max_teams if settings else MAX_TEAMS
        self._label_values = set()
        self._lock = threading.Lock()
        self._reader = export.InMemoryMetricReader()
        readers = [self._reader]
        if settings and settings.otlp_endpoint:
            readers.append(_push_reader(settings))
        # Resource.create() would load all installed detectors, and exemplars
        # would cost time for each measurement.
        self._provider = sdk.MeterProvider(
            readers,
            resource=resources.Resource(
                {'service.name': program, 'service.instance.id': instance}
            ),
            exemplar_filter=sdk.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('figtray')
        self._store_calls = self._counter(
            'store_calls', 'Calls to the store by kind and outcome.'
        )
        self._calls = self._histogram(
            'call_time', 'Time of a call of a caller, by queue and status.'
        )
        self._start_wait = self._histogram(
            'start_wait', 'Time from a task being ready to its start.'
        )
        self._lasting_start_wait = self._histogram(
            'lasting_start_wait',
            'Time from a lasting task being ready to its start.',
        )
        self._takeover = self._histogram(
            'takeover_time',
            'Time from the start of a term until jobs and workers are loaded, '
            'the first task has started, and the runs of earlier terms are '
            'accounted for.',
        )
        self._runs = self._histogram(
            'run_time', 'Time from the start of a run to its end.'
        )
        self._run_time_ratio = self._histogram(
            'run_time_ratio_percent',
            'Run time of the longest task of a step against what was expected '
            'when its job arrived.',
            '%',
            BUCKETS_PERCENT,
        )
        self._refused_starts = self._counter(
            'refused_starts', 'Starts that a worker refused, by reason.'
        )
        self._refused_jobs = self._counter(
            'refused_jobs',
            'Submissions that were refused for want of room, by queue.',
        )
        self._worker_ends = self._counter(
            'worker_ends', 'Incarnations of workers that ended, by kind.'
        )
        self._meter.create_observable_gauge(
            'figtray_build_info',
            [_build_info],
            '1',
            'Always 1; the labels name the code of the process.',
        )
        self._view_ages = {}
        self._meter.create_observable_gauge(
            'figtray_view_age',
            [self._observe_view_ages],
            'ms',
            'Time since what is known below a prefix of the store was last '
            'confirmed.',
        )
        self._waits = None
        self._waits_gauge(
            'awaited_incarnations',
            '1',
            'Incarnations of workers that the takeover awaits.',
            lambda waits: [(waits.awaited, {})],
        )
        self._waits_gauge(
            'held_tasks',
            '1',
            'Ready tasks without a run, by reason.',
            lambda waits: [
                (count, {'reason': reason})
                for reason, count in waits.held.items()
            ],
        )
        self._waits_gauge(
            'longest_lasting_wait',
            'ms',
            'Longest wait of the lasting tasks that are ready without a run.',
            lambda waits: [(waits.longest_lasting_ms, {})],
        )

    def observe_callers(self, read_state):
        """Show what is held for callers from now on.

        Args:
            read_state: returns the State of the ingress Budget.
        """

        def gauge(name, unit, description, read):
            self._meter.create_observable_gauge(
                f'figtray_{name}',
                [
                    lambda _: [
                        api.Observation(*pair) for pair in read(read_state())
                    ]
                ],
                unit,
                description,
            )

        gauge(
            'callers_budget_bytes',
            'By',
            'Most memory that is held for callers.',
            lambda state: [(state.budget_bytes, {})],
        )
        gauge(
            'callers_held_bytes',
            'By',
            'Memory that is held for callers.',
            lambda state: [(state.held_bytes, {})],
        )
        gauge(
            'callers_connections',
            '1',
            'Connections of callers: open ones, and those whose caller has '
            'stopped within a request or an answer.',
            lambda state: [
                (state.open, {'state': 'open'}),
                (state.stalled, {'state': 'stalled'}),
            ],
        )
        gauge(
            'callers_refused',
            '1',
            'Requests refused and connections closed since the start, by '
            'reason.',
            lambda state: [
                (count, {'reason': reason.value})
                for reason, count in state.refused.items()
            ],
        )

    def record_call(self, queue, method, status, duration_ms):
        """Record a request of a caller.

        Args:
            queue: name of the queue; empty if there is none.
            method: HTTP method.
            status: HTTP status of the response.
            duration_ms: time from the request to its response.
        """
        labels = {
            'queue': self._limit_series(queue),
            'method': method,
            'status': str(status),
        }
        self._calls.record(duration_ms, labels)

    def record_start(self, team, waited_ms):
        """Record a task that a worker has started.

        Args:
            team: name of the team.
            waited_ms: time from the task being ready to its start.
        """
        self._start_wait.record(waited_ms, {'team': self._limit_series(team)})

    def record_lasting_start(self, waited_ms):
        """Record a lasting task that a worker has started.

        Args:
            waited_ms: time from the task being ready to its start.
        """
        self._lasting_start_wait.record(waited_ms)

    def record_takeover(self, phase, duration_ms):
        """Record that a part of the takeover of this term is over.

        Args:
            phase: the TakeoverPhase.
            duration_ms: time since the start of the term.
        """
        self._takeover.record(duration_ms, {'phase': phase.value})

    def record_run(self, team, end, duration_ms):
        """Record a run that has ended.

        Args:
            team: name of the team.
            end: how the run ended.
            duration_ms: time from its start to its end.
        """
        labels = {'team': self._limit_series(team), 'end': end}
        self._runs.record(duration_ms, labels)

    def record_run_time_ratio(self, queue, percent):
        """Record how long a step has taken against what was expected.

        Args:
            queue: name of the queue.
            percent: the time of its longest task, in percent of that.
        """
        labels = {'queue': self._limit_series(queue)}
        self._run_time_ratio.record(percent, labels)

    def count_refused_start(self, reason):
        """Count a start that a worker refused."""
        self._refused_starts.add(1, {'reason': reason})

    def count_refused_job(self, queue):
        """Count a submission that was refused for want of room."""
        self._refused_jobs.add(1, {'queue': self._limit_series(queue)})

    def count_worker_end(self, kind):
        """Count an incarnation of a worker that has ended."""
        self._worker_ends.add(1, {'kind': kind})

    def record_waits(self, awaited, held, longest_lasting_ms):
        """Record what the tasks of the leader wait for.

        Args:
            awaited: number of incarnations of workers that the takeover
                awaits.
            held: mapping of each reason to the number of ready tasks that it
                holds.
            longest_lasting_ms: longest time that a ready lasting task has
                waited.
        """
        self._waits = _Waits(awaited, held, longest_lasting_ms)

    def clear_waits(self):
        """Remove the series on waits, as this process no longer leads."""
        self._waits = None

    def observe_view_age(self, prefix, read_age_ms):
        """Show the age of a view of the store from now on.

        Args:
            prefix: prefix of the keys in the view.
            read_age_ms: returns the age in milliseconds, or None if the view
                was never read; None ends the series.
        """
        with self._lock:
            self._view_ages.pop(prefix, None)
            if read_age_ms is not None:
                self._view_ages[prefix] = read_age_ms

    def _observe_view_ages(self, _):
        with self._lock:
            ages = list(self._view_ages.items())
        return [
            api.Observation(age_ms, {'prefix': prefix})
            for prefix, read_age_ms in ages
            if (age_ms := read_age_ms()) is not None
        ]

    def count_store_call(self, kind, outcome):
        """Count one call to the store.

        Args:
            kind: name of the Store method.
            outcome: `ok`, `unavailable`, `uncertain` or `error`; a watch
                counts as `started`, and as `broken` if it fails.
        """
        self._store_calls.add(1, {'kind': kind, 'outcome': outcome})

    def page(self):
        """Return all series in the Prometheus exposition format."""
        data = self._reader.get_metrics_data()
        if data is None:
            return ''
        return ''.join(
            f'{line}\n'
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for line in _lines(metric)
        )

    def close(self):
        """Push the last measurements and stop pushing."""
        self._provider.shutdown()

    def _histogram(self, name, description, unit='ms', buckets=BUCKETS_MS):
        return self._meter.create_histogram(
            f'figtray_{name}',
            unit,
            description,
            explicit_bucket_boundaries_advisory=buckets,
        )

    def _waits_gauge(self, name, unit, description, read):
        def observe(_):
            waits = self._waits
            pairs = [] if waits is None else read(waits)
            return [api.Observation(*pair) for pair in pairs]

        self._meter.create_observable_gauge(
            f'figtray_{name}', [observe], unit, description
        )

    def _counter(self, name, description):
        return self._meter.create_counter(f'figtray_{name}', '1', description)

    def _limit_series(self, label_value):
        if label_value in self._label_values:
            return label_value
        with self._lock:
            if len(self._label_values) >= self._max_teams:
                return OTHER_LABEL_VALUE
            self._label_values.add(label_value)
            return label_value


def _build_info(_):
    labels = {
        'version': figtray.__version__,
        'sources': release.sources_digest(),
    }
    return [api.Observation(1, labels)]


def _push_reader(settings):
    # Imported only if it is configured: the exporter (protobuf, requests) adds
    # about 10 MB of resident memory.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(
            endpoint=settings.otlp_endpoint,
            timeout=min(settings.export_interval_ms, PUSH_TIMEOUT_MS) / 1000,
        ),
        export_interval_millis=settings.export_interval_ms,
    )


def _lines(metric):
    """Yield the lines of a metric in the Prometheus exposition format."""
    match metric.data:
        case export.Histogram():
            name, kind, samples = metric.name, 'histogram', _histogram_samples
        case export.Sum():
            name, kind, samples = f'{metric.name}_total', 'counter', _samples
        case _:
            name, kind, samples = metric.name, 'gauge', _samples
    if metric.unit == 'ms':
        name = f'{name}_ms'
    yield f'# HELP {name} {metric.description}'
    yield f'# TYPE {name} {kind}'
    for point in metric.data.data_points:
        yield from samples(name, point)


def _samples(name, point):
    yield f'{name}{_labels(point.attributes)} {point.value}'


def _histogram_samples(name, point):
    count = 0
    bounds = [f'{bound:g}' for bound in point.explicit_bounds] + ['+Inf']
    for bound, number in zip(bounds, point.bucket_counts):
        count += number
        labels = _labels(dict(point.attributes) | {'le': bound})
        yield f'{name}_bucket{labels} {count}'
    yield f'{name}_sum{_labels(point.attributes)} {point.sum}'
    yield f'{name}_count{_labels(point.attributes)} {point.count}'


def _labels(attributes):
    pairs = ','.join(
        f'{name}="{str(value).translate(_ESCAPES)}"'
        for name, value in attributes.items()
    )
    return f'{{{pairs}}}' if pairs else ''
