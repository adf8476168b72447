"""Measures how state, messages and processor time grow with each size."""

import collections
import dataclasses
import gc
import io
import json
import math
import os
import statistics
import time
import tracemalloc
import typing

import typer

from figtray.bench import sizes as sizes_lib
from figtray.capacity import planner
from figtray import clock as clock_lib
from figtray import codec
from figtray.configuration import archive as archive_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray.controller import recount_duty
from figtray.entry import app as app_lib
from figtray.entry import handlers as handlers_lib
from figtray.events import log
from figtray.hostlist import base as hostlist_base
from figtray.hostlist import http as hostlist_http
from figtray.limits import allotments as allotments_lib
from figtray.limits import recount as recount_lib
from figtray.peers import messages
from figtray.queues import queueset
from figtray.shares import view as view_lib
from figtray.store import memory as store_memory
from figtray.workers import base as workers_base

# A straight line is said to fit if the root mean square of its residuals is
# at most this part of the mean value. Over a factor of 16 in size, n log n
# stays below it and n**1.3 does not.
LINEAR_RMS = 0.08
FULL_S = 170
QUICK_S = 28
# A repetition that takes longer than this is not repeated further.
REPEAT_S = 0.6
REPEATS = 9
QUICK_REPEATS = 3
MIN_BATCH_US = 5_000
MAX_BATCH = 200
REFERENCE_STEPS = 3_000

HEARTBEAT_MS = 1000
# Two TCP/IPv4 headers with timestamps (the message and its acknowledgement)
# and the 12 bytes that nng puts before a request.
MESSAGE_OVERHEAD_BYTES = 2 * 52 + 12
# Payload of a TCP segment, each further one of which has its own headers.
SEGMENT_BYTES = 1448
SEGMENT_OVERHEAD_BYTES = 52


@dataclasses.dataclass(frozen=True)
class Fit:
    """A straight line through measured points, and a power law beside it.

    The residuals are relative to the mean value. `last_exponent` is the
    growth between the two largest sizes alone, where a constant part counts
    least.
    """

    slope: float
    intercept: float
    rms: float
    largest: float
    exponent: float
    power_rms: float
    last_exponent: float

    @property
    def is_linear(self):
        """Whether a straight line describes the points."""
        return self.rms <= LINEAR_RMS


def fit(points):
    """Fit a straight line and a power law by least squares.

    Args:
        points: at least two (size, value) pairs of different sizes above 0.

    Returns:
        The Fit.
    """
    sizes, values = zip(*sorted(points))
    slope, intercept = statistics.linear_regression(sizes, values)
    rms, largest = _residuals(
        values, [slope * size + intercept for size in sizes]
    )
    exponent = power_rms = last_exponent = math.nan
    if min(values) > 0:
        logs = [math.log(size) for size in sizes]
        log_values = [math.log(value) for value in values]
        exponent, start = statistics.linear_regression(logs, log_values)
        power_rms, _ = _residuals(
            values, [math.exp(exponent * x + start) for x in logs]
        )
        last_exponent = (log_values[-1] - log_values[-2]) / (
            logs[-1] - logs[-2]
        )
    return Fit(
        slope, intercept, rms, largest, exponent, power_rms, last_exponent
    )


def _residuals(values, fitted):
    """Return (root mean square, largest) relative to the mean value."""
    mean = statistics.fmean(values)
    if not mean:
        return 0.0, 0.0
    parts = [(v - f) / mean for v, f in zip(values, fitted)]
    return math.sqrt(statistics.fmean(p * p for p in parts)), max(
        map(abs, parts)
    )


def cpu_us(function, repeats, calls=1, prepare=None):
    """Return the median processor time of a call in microseconds.

    Other work on the machine slows a processor down by up to two. Each
    measurement is therefore scaled by the time of a fixed piece of work
    before and after it; measure() corrects for the pace of the first one.

    Args:
        function: called without arguments, or with the result of `prepare`.
        repeats: how often it is measured.
        calls: how many calls `function` makes; the time is for one.
        prepare: called before each call of `function`, outside of the time.
    """
    gc.collect()
    gc.disable()
    try:
        first = _scaled_us(function, 1, prepare)
        # Short calls are timed together: the clock is read in steps.
        count = 1
        if prepare is None:
            count = min(MAX_BATCH, max(1, int(MIN_BATCH_US / max(first, 1))))
        times = [first] if repeats == 1 else []
        end_s = time.monotonic() + REPEAT_S
        while len(times) < repeats:
            times.append(_scaled_us(function, count, prepare))
            if time.monotonic() > end_s:
                break
    finally:
        gc.enable()
    return statistics.median(times) / calls


def _scaled_us(function, count, prepare):
    args = () if prepare is None else (prepare(),)
    before_us = _REFERENCE.run_us()
    start_ns = time.thread_time_ns()
    for _ in range(count):
        function(*args)
    passed_us = (time.thread_time_ns() - start_ns) / 1000 / count
    return _REFERENCE.scale(passed_us, before_us, _REFERENCE.run_us())


class Reference:
    """A fixed piece of work by which the pace of the processor is known."""

    def __init__(self):
        self.first_us = None
        self.least_us = math.inf

    def run_us(self):
        """Do the work and return its processor time in microseconds."""
        start_ns = time.thread_time_ns()
        table = {}
        for number in range(REFERENCE_STEPS):
            table[number % 512] = (number, str(number))
        passed_us = (time.thread_time_ns() - start_ns) / 1000
        self.first_us = self.first_us or passed_us
        self.least_us = min(self.least_us, passed_us)
        return passed_us

    def scale(self, passed_us, before_us, after_us):
        """Scale a time to the pace at which the work was done first."""
        return passed_us * self.first_us * 2 / (before_us + after_us)

    @property
    def correction(self):
        """Factor from the first pace to the best one since."""
        return self.least_us / self.first_us if self.first_us else 1.0


_REFERENCE = Reference()


def allocated_bytes(function):
    """Return (bytes that stay, highest bytes) of a call's allocations."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = function()
        gc.collect()
        current, peak = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return current, peak


# -- configuration ------------------------------------------------------------


def measure_configuration(hosts, repeats):
    """Measure one configuration of a number of hosts."""
    snapshot = sizes_lib.make_snapshot(hosts)
    reply = messages.ChangesReply(snapshot=snapshot_lib.to_data(snapshot))
    encoded = codec.encode('entry-1', 'run', 1, reply)

    def decode():
        return snapshot_lib.from_data(codec.decode(encoded)[1].snapshot)

    kept, peak = allocated_bytes(decode)
    change = sizes_lib.change_one_host(snapshot)

    def apply():
        replica = replica_lib.Replica(sizes_lib.DEPLOYMENT)
        replica.adopt(snapshot)
        replica.apply(change)

    push = codec.encode('api-1', 'run', 1, messages.ChangePush(change))
    changed = change.items
    # Nothing refers to this zone, so all items are looked at.
    deleted = [
        snapshot_lib.Item(
            resources.Kind.ZONE.value, 'unused', snapshot.generation + 1
        )
    ]

    return {
        'snapshot in memory (bytes)': kept,
        'peak while decoding (bytes)': peak,
        'encoded snapshot (bytes)': len(encoded),
        'pushed change of a host (bytes)': len(push),
        'encode a snapshot (us)': cpu_us(
            lambda: codec.encode('entry-1', 'run', 1, reply), repeats
        ),
        'decode a snapshot (us)': cpu_us(decode, repeats),
        'Replica.apply of a change (us)': cpu_us(apply, repeats),
        'check_items of a changed host (us)': cpu_us(
            lambda: archive_lib.check_items(snapshot, changed), repeats
        ),
        'check_items of a deletion (us)': cpu_us(
            lambda: archive_lib.check_items(snapshot, deleted), repeats
        ),
    }


def measure_entry(hosts, repeats):
    """Measure what an entry does with a configuration."""
    node = sizes_lib.make_node(hosts)

    def apply():
        node.replica.apply(sizes_lib.change_one_host(node.replica.snapshot))

    kept, _ = allocated_bytes(lambda: sizes_lib.make_node(hosts))
    return {
        'entry in memory (bytes)': kept,
        'entry applies a change (us)': cpu_us(apply, repeats),
        'capacity of all pools, every 250 ms (us)': cpu_us(
            node._update_capacity, repeats
        ),
    }


def measure_history(marks, repeats):
    """Measure the head of the store with a number of marks."""
    snapshot = sizes_lib.make_snapshot(500, history=marks)
    store = store_memory.MemoryStore(clock_lib.ManualClock())
    archive = archive_lib.Archive(store, sizes_lib.DEPLOYMENT)
    archive.restore(snapshot, 0)
    return {
        'head (bytes)': len(store.get(archive.head_key).value),
        'read the head (us)': cpu_us(archive.read_head, repeats),
    }


def measure_writer(hosts, repeats):
    """Measure a change from the writer to one entry, without sockets."""
    snapshot = sizes_lib.make_snapshot(hosts, history=512)
    clock = clock_lib.ManualClock()
    store = store_memory.MemoryStore(clock)
    archive_lib.Archive(store, sizes_lib.DEPLOYMENT).restore(snapshot, 0)
    replica = replica_lib.Replica(sizes_lib.DEPLOYMENT)
    replica.adopt(snapshot)
    writer = writer_lib.Writer(
        store,
        sizes_lib.DEPLOYMENT,
        writer_lib.ReplicaGroup({'entry-1': replica}),
        clock,
    )
    writer.read()

    def commit():
        writer.commit(lambda s: sizes_lib.change_one_host(s).items)

    store.calls.clear()
    commit()
    calls = sum(store.calls.values())
    fresh = archive_lib.Archive(store, sizes_lib.DEPLOYMENT)
    stored = store.range(fresh.prefix).items
    return {
        'configuration in the store (bytes)': sum(
            len(item.key) + len(item.value) for item in stored
        ),
        'read all from the store (us)': cpu_us(fresh.read_snapshot, repeats),
        'Writer.read, nothing new (us)': cpu_us(writer.read, repeats),
        'Writer.commit of a change (us)': cpu_us(commit, repeats),
        'store calls of a change': calls,
    }


def measure_host_list(hosts, repeats):
    """Measure one read of the host list, as each process makes it."""
    data = json.dumps(
        {
            'hosts': [
                {
                    'host': f'host-{number:05d}',
                    'presence': hostlist_base.HostPresence.LIVE.value,
                    'boot_id': f'{number:032x}',
                    'running': 5,
                    'age_ms': 1_000,
                }
                for number in range(hosts)
            ]
        }
    ).encode()
    return {
        'host list (bytes)': len(data),
        'read the host list (us)': cpu_us(
            lambda: hostlist_http.parse_hosts(data), repeats
        ),
    }


# -- peers and shares ---------------------------------------------------------


def exchange_bytes(request_bytes, reply_bytes):
    """Return the bytes of a call on the network, with its overhead."""
    total = 0
    for size in (request_bytes, reply_bytes):
        total += size + MESSAGE_OVERHEAD_BYTES
        total += (size // SEGMENT_BYTES) * SEGMENT_OVERHEAD_BYTES
    return total


def _report_demand(node, pools, teams):
    """Let an entry have demand of some teams in some pools."""
    for pool in range(pools):
        for team in range(teams):
            node.view.queued(
                sizes_lib.pool_name(pool), sizes_lib.team_name(team), count=3
            )


def measure_heartbeat(pairs, repeats, pools=sizes_lib.POOLS):
    """Measure a heartbeat with demand of some (pool, team) pairs."""
    node = sizes_lib.make_node(sizes_lib.SLOTS_PER_HOST * pools, pools)
    _report_demand(node, pools, max(1, pairs // pools))
    message = node._describe()
    encoded = codec.encode('entry-2', 'run/control', 1, message)
    handlers = handlers_lib.Handlers(node)
    envelope, _ = codec.decode(encoded)
    reply = codec.encode('a', 'run', 1, handlers.handle(envelope, message))
    status = codec.encode('a', 'run', 1, node.status())
    exchange = exchange_bytes(len(encoded), len(reply))
    brief = codec.encode('a', 'run', 1, node.status(brief=True))
    return {
        'heartbeat (bytes)': len(encoded),
        'heartbeat and reply with overhead (bytes)': exchange,
        'status reply (bytes)': len(status),
        'brief status reply (bytes)': len(brief),
        'status (us)': cpu_us(node.status, repeats),
        'build (us)': cpu_us(node._describe, repeats),
        'encode (us)': cpu_us(
            lambda: codec.encode('entry-2', 'run/control', 1, message),
            repeats,
        ),
        'decode (us)': cpu_us(lambda: codec.decode(encoded), repeats),
        'handle (us)': cpu_us(
            lambda: handlers.handle(envelope, message), repeats
        ),
        'is an early report due, every 250 ms (us)': cpu_us(
            node.view.is_report_due, repeats
        ),
    }


def measure_mesh(entries, repeats):
    """Derive what one entry of a full mesh sends and receives.

    Each entry calls every other once in HEARTBEAT_MS. Its demand is of five
    teams in each pool; a bare heartbeat has neither demand nor allotments.
    """
    del repeats
    mark = snapshot_lib.Mark(1, '0' * 16)
    demand = sizes_lib.make_demand(sizes_lib.POOLS, 5)
    reply = codec.encode(
        'entry-2', 'f' * 32, 1, messages.HeartbeatReply(mark, True)
    )
    full, bare = (
        exchange_bytes(
            len(codec.encode('entry-1', 'f' * 32 + '/control', 1, message)),
            len(reply),
        )
        for message in (
            messages.Heartbeat(mark, True, 1, demand),
            messages.Heartbeat(mark, True, 1),
        )
    )
    calls_per_s = 2 * (entries - 1) * 1000 / HEARTBEAT_MS
    return {
        'bytes/s of an entry': calls_per_s * full,
        'bytes/s of an entry, bare': calls_per_s * bare,
        'messages/s of an entry': 2 * calls_per_s,
        'bytes/s of the deployment': entries * calls_per_s / 2 * full,
    }


def _make_view(teams, entries):
    clock = clock_lib.ManualClock()
    slots = sizes_lib.entry_slots(entries)
    view = view_lib.ShareView(clock, slots[0])
    shares = {
        sizes_lib.team_name(number): view_lib.TeamShare(1, 10_000)
        for number in range(teams)
    }
    pool = sizes_lib.pool_name(0)
    view.configure(pool, 528, shares)
    for team in shares:
        view.queued(pool, team, count=3)
    for slot in slots[1:]:
        view.hear(slot, sizes_lib.make_demand(1, teams, clock.now_ms()))
    return clock, view


def measure_shares(demands, repeats):
    """Measure the computation of one pool's portions.

    Args:
        demands: number of teams times number of entries.
        repeats: how often it is measured.
    """
    clock, view = _make_view(
        max(1, demands // sizes_lib.ENTRIES), sizes_lib.ENTRIES
    )

    def compute():
        clock.advance(view_lib.RECOMPUTE_MS)
        view.may_start(sizes_lib.pool_name(0), sizes_lib.team_name(0))

    return {'portions of one pool (us)': cpu_us(compute, repeats)}


def measure_shares_by_entries(entries, repeats):
    """Measure one pool's portions with all teams on some entries."""
    clock, view = _make_view(sizes_lib.TEAMS, entries)

    def compute():
        clock.advance(view_lib.RECOMPUTE_MS)
        view.may_start(sizes_lib.pool_name(0), sizes_lib.team_name(0))

    return {'portions of one pool (us)': cpu_us(compute, repeats)}


def measure_shares_by_pools(pools, repeats):
    """Measure the portions of some pools with ten teams in each."""
    node = sizes_lib.make_node(4 * pools, pools, 10)
    for slot in node.slots[1:]:
        node.view.hear(slot, sizes_lib.make_demand(pools, 10))
    _report_demand(node, pools, 10)

    def compute():
        node.clock.advance(view_lib.RECOMPUTE_MS)
        for pool in range(pools):
            node.view.may_start(
                sizes_lib.pool_name(pool), sizes_lib.team_name(0)
            )

    return {'portions of all pools (us)': cpu_us(compute, repeats)}


# -- limits -------------------------------------------------------------------


class _Entries(recount_lib.EntryCalls):
    """Entries whose reports are known; grants are dropped."""

    def __init__(self, reports):
        self.slots = tuple(reports)
        self._reports = reports

    def join(self, epoch, floor):
        return dict(self._reports)

    def fence(self, floor):
        return set(self.slots)

    def grant(self, slot, grant):
        return True


def _measure_recount(teams, entries, repeats):
    snapshot = sizes_lib.make_snapshot(100, 2, teams)
    clock = clock_lib.ManualClock()
    reports, status = {}, {}
    for slot in sizes_lib.entry_slots(entries):
        allotments = allotments_lib.Allotments(slot, 'run', clock)
        allotments.on_configuration(None, snapshot)
        reports[slot] = allotments.join(1)
        status[slot] = messages.StatusReply(
            slot=slot,
            incarnation='run.0',
            epoch=1,
            mark=snapshot.mark,
            synchronised=True,
            serving=True,
            allotments=reports[slot].allotments,
        )
    recount = recount_lib.Recount(
        _Entries(reports), lambda _: {}, clock, lambda _: True
    )
    known = recount_lib.Members(
        0, {slot: report.incarnation for slot, report in reports.items()}
    )
    allotments = allotments_lib.Allotments('entry-1', 'run', clock)
    return {
        'recount without workers (us)': cpu_us(
            lambda: recount.run(1, snapshot, known, lambda _: None), repeats
        ),
        'is a recount needed (us)': cpu_us(
            lambda: recount_duty.is_needed(snapshot, status), repeats
        ),
        'an entry follows a change (us)': cpu_us(
            lambda: allotments.on_configuration(None, snapshot), repeats
        ),
    }


def measure_recount_by_teams(teams, repeats):
    """Measure the recount of some teams at ENTRIES entries."""
    return _measure_recount(teams, sizes_lib.ENTRIES, repeats)


def measure_recount_by_entries(entries, repeats):
    """Measure the recount of TEAMS teams at some entries."""
    return _measure_recount(sizes_lib.TEAMS, entries, repeats)


def measure_orphans(workers, repeats):
    """Measure the counting of the tasks that some workers report."""
    snapshot = sizes_lib.make_snapshot(workers)
    reports = {
        host: workers_base.WorkerReport(
            host,
            'boot',
            1,
            sizes_lib.SLOTS_PER_HOST,
            False,
            tuple(
                workers_base.RunningTask(
                    f'{host}-{index}',
                    f'{host}-{index}',
                    sizes_lib.team_name(index),
                    f'run-{index}.0',
                    60_000,
                )
                for index in range(sizes_lib.SLOTS_PER_HOST)
            ),
        )
        for host in snapshot.specs(resources.Kind.HOST)
    }
    recount = recount_lib.Recount(
        _Entries({}),
        lambda _: reports,
        clock_lib.ManualClock(),
        lambda _: True,
    )
    joined = {f'run-{index}.0' for index in range(4)}
    return {
        'count orphans (us)': cpu_us(
            lambda: recount._count_orphans(snapshot, joined), repeats
        )
    }


# -- queues and dispatch ------------------------------------------------------


def _make_requests(count):
    return [
        queueset.QueuedRequest(
            task_id=f'entry-1.{number:032x}',
            queue=sizes_lib.queue_name(0),
            pool=sizes_lib.pool_name(0),
            team=sizes_lib.team_name(number % sizes_lib.TEAMS),
            key_id=sizes_lib.key_of(number % sizes_lib.TEAMS)[0],
            urgent=False,
            enqueued_ms=0,
            deadline_ms=10**9 + number,
            size_bytes=256,
        )
        for number in range(count)
    ]


def measure_queues(count, repeats):
    """Measure a queue set with a number of queued requests."""
    requests = _make_requests(count)

    def fill():
        queues = queueset.QueueSet(clock_lib.ManualClock())
        queues.configure(
            sizes_lib.queue_name(0), sizes_lib.pool_name(0), count
        )
        for request in requests:
            queues.add(request)
        return queues

    def take(queues):
        for request in requests:
            queues.take(request.pool, request.team, False)

    def cancel(queues):
        for request in requests:
            queues.cancel(request.task_id)

    kept, _ = allocated_bytes(fill)
    bodies, _ = allocated_bytes(lambda: _make_requests(count))
    return {
        'queued requests in memory, no bodies (bytes)': kept + bodies,
        'add all (us)': cpu_us(fill, repeats),
        'take all (us)': cpu_us(take, repeats, prepare=fill),
        'cancel all (us)': cpu_us(cancel, repeats, prepare=fill),
    }


def _make_environ(team):
    return {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': f'/v1/queues/{sizes_lib.queue_name(0)}/tasks',
        'CONTENT_LENGTH': '256',
        'HTTP_AUTHORIZATION': f'Bearer {sizes_lib.key_of(team)[1]}',
        'HTTP_PREFER': 'wait=0',
        'wsgi.input': io.BytesIO(b'x' * 256),
    }


def _measure_requests(node, repeats, requests=40):
    app = app_lib.CallersApp(node, node.cfg, node.clock, node.metrics)
    statuses = collections.Counter()

    def start_response(status, headers):
        statuses[status[:3]] += 1

    def run():
        for number in range(requests):
            # One team only, so that the demand beside it stays the same.
            app(_make_environ(0), start_response)
            node.dispatcher.step()

    result = cpu_us(run, repeats, requests)
    if set(statuses) != {'202'}:
        raise RuntimeError(f'requests were refused: {dict(statuses)}')
    if node.table.open_count():
        raise RuntimeError(f'{node.table.open_count()} requests did not end')
    return result


def measure_dispatch_by_hosts(hosts, repeats):
    """Measure a request from the callers' API to its answer.

    Args:
        hosts: number of hosts of the one pool.
        repeats: how often it is measured.
    """
    node = sizes_lib.make_node(hosts, pools=1, teams=2)
    return {'one request (us)': _measure_requests(node, repeats)}


def measure_dispatch_by_demands(demands, repeats):
    """Measure a request in a pool with demand of other teams at peers.

    Args:
        demands: number of teams times number of peers.
        repeats: how often it is measured.
    """
    peers = sizes_lib.ENTRIES - 1
    teams = max(1, demands // peers)
    # 88 hosts have a slot for each of 78 teams at 8 peers, and one more.
    node = sizes_lib.make_node(88, pools=1, teams=sizes_lib.TEAMS)
    demand = sizes_lib.make_demand(1, teams, running=1, queued=0)
    for slot in node.slots[1:]:
        node.view.hear(slot, demand)
    return {'one request (us)': _measure_requests(node, repeats)}


# -- planner ------------------------------------------------------------------


def _measure_plan(hosts, pools, repeats):
    situation = sizes_lib.make_situation(hosts, pools)
    _, peak = allocated_bytes(lambda: planner.plan(situation))
    return {
        'plan (us)': cpu_us(lambda: planner.plan(situation), repeats),
        'memory of a plan, peak (bytes)': peak,
        'actions of the plan': len(planner.plan(situation).actions),
    }


def measure_planner_by_hosts(hosts, repeats):
    """Measure the planner with POOLS pools."""
    return _measure_plan(hosts, sizes_lib.POOLS, repeats)


def measure_planner_by_pools(pools, repeats):
    """Measure the planner with 4,000 hosts, or 200 for each of few pools."""
    return _measure_plan(min(4_000, 200 * pools), pools, repeats)


@dataclasses.dataclass(frozen=True)
class Group:
    """Measurements that share their set-up and their sizes."""

    name: str
    size_name: str
    measure: typing.Callable
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    tiny_size: int


_HOSTS = (500, 2_000, 4_000, 8_000, 11_000, 16_000)
_QUICK_HOSTS = (250, 500, 1_000, 2_000)
_TEAMS = (10, 20, 40, 78)
_PAIRS = tuple(teams * sizes_lib.POOLS for teams in (1, 5, 20, 40, 78))
_QUICK_PAIRS = tuple(teams * sizes_lib.POOLS for teams in (1, 2, 5, 10))
_DEMANDS = tuple(teams * sizes_lib.ENTRIES for teams in _TEAMS)

GROUPS = (
    Group(
        'configuration',
        'hosts',
        measure_configuration,
        _HOSTS,
        _QUICK_HOSTS,
        4,
    ),
    Group('entry', 'hosts', measure_entry, _HOSTS, _QUICK_HOSTS, 4),
    Group(
        'history in the head',
        'marks',
        measure_history,
        (64, 128, 256, 512),
        (64, 128, 256, 512),
        2,
    ),
    Group('host list', 'hosts', measure_host_list, _HOSTS, _QUICK_HOSTS, 4),
    Group('writer', 'hosts', measure_writer, _HOSTS, _QUICK_HOSTS, 4),
    Group(
        'heartbeat',
        'pool-team pairs',
        measure_heartbeat,
        _PAIRS,
        _QUICK_PAIRS,
        1,
    ),
    Group(
        'full mesh, 835 pairs each',
        'entries',
        measure_mesh,
        (3, 5, 9, 16, 35),
        (3, 5, 9, 16),
        2,
    ),
    Group(
        'shares of a pool, 9 entries',
        'teams x entries',
        measure_shares,
        _DEMANDS,
        _DEMANDS,
        9,
    ),
    Group(
        'shares of a pool, 78 teams',
        'entries',
        measure_shares_by_entries,
        (3, 5, 9, 16),
        (3, 5, 9, 16),
        1,
    ),
    Group(
        'shares of all pools, 10 teams, 9 entries',
        'pools',
        measure_shares_by_pools,
        (20, 40, 80, 167),
        (10, 20, 40, 80),
        1,
    ),
    Group(
        'recount, 9 entries',
        'teams',
        measure_recount_by_teams,
        (10, 20, 40, 78, 156),
        _TEAMS,
        1,
    ),
    Group(
        'recount, 78 teams',
        'entries',
        measure_recount_by_entries,
        (3, 5, 9, 16),
        (3, 5, 9, 16),
        1,
    ),
    Group('orphans', 'workers', measure_orphans, _HOSTS, _QUICK_HOSTS, 4),
    Group(
        'queue set',
        'requests',
        measure_queues,
        (1_000, 2_000, 4_000, 8_000, 16_000),
        (250, 500, 1_000, 2_000),
        4,
    ),
    Group(
        'request',
        'hosts of the pool',
        measure_dispatch_by_hosts,
        (8, 66, 250, 500, 1_000),
        (8, 66, 125, 250),
        2,
    ),
    Group(
        'request, 88 hosts',
        'teams x peers',
        measure_dispatch_by_demands,
        (8, 80, 160, 320, 624),
        (8, 80, 160, 320),
        8,
    ),
    Group(
        'planner, 167 pools',
        'hosts',
        measure_planner_by_hosts,
        _HOSTS,
        (500, 1_000, 2_000, 4_000),
        4,
    ),
    Group(
        'planner, 4,000 hosts',
        'pools',
        measure_planner_by_pools,
        (20, 40, 80, 167, 334),
        (20, 40, 80, 167),
        2,
    ),
)


def measure(groups, is_quick, end_s):
    """Measure groups, each from its smallest to its largest size.

    Args:
        groups: the Groups.
        is_quick: use the smaller sizes and fewer repetitions.
        end_s: time.monotonic() after which no further size is begun.

    Returns:
        Mapping of group name to a mapping of label to a mapping of size to
        value.
    """
    repeats = QUICK_REPEATS if is_quick else REPEATS
    record = {group.name: {} for group in groups}
    for group in groups:
        for size in group.quick_sizes if is_quick else group.sizes:
            if time.monotonic() > end_s:
                break
            for label, value in group.measure(size, repeats).items():
                record[group.name].setdefault(label, {})[size] = value
    for values in record.values():
        for label in values:
            if label.endswith('(us)'):
                for size in values[label]:
                    values[label][size] *= _REFERENCE.correction
    return record


def describe(points):
    """Return a line on the fit of some points."""
    if len(points) < 2:
        return 'not measured: out of time'
    found = fit(points)
    text = (
        f'slope {found.slope:.6g}, intercept {found.intercept:.6g}, '
        f'residual rms {found.rms:.1%}, largest {found.largest:.1%}'
    )
    if found.is_linear:
        return text
    return (
        f'{text}; NOT LINEAR: exponent {found.exponent:.2f} '
        f'(rms {found.power_rms:.1%}), '
        f'{found.last_exponent:.2f} between the two largest sizes'
    )


def main(
    quick: bool = False,
    json_file: typing.Annotated[str, typer.Option('--json')] = '',
    only: str = '',
):
    """Print the slopes that this machine shows."""
    started_s = time.monotonic()
    log.setup('error', os.devnull, 'figtray-bench')
    groups = [group for group in GROUPS if only in group.name]
    end_s = started_s + (QUICK_S if quick else FULL_S)
    record = measure(groups, quick, end_s)
    print(f'reference work: {_REFERENCE.least_us:.0f} us at best')
    for group in groups:
        print(f'\n{group.name}, by {group.size_name}')
        for label, values in record[group.name].items():
            points = sorted(values.items())
            text = ', '.join(f'{n}: {value:.6g}' for n, value in points)
            print(f'  {label}\n    {text}\n    {describe(points)}')
    print(f'\n{time.monotonic() - started_s:.0f} s in all')
    if json_file:
        with open(json_file, 'w') as file:
            json.dump(record, file, indent=1)


if __name__ == '__main__':
    typer.run(main)
