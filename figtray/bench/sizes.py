"""Configurations, entries and demand of a chosen size for measurements."""

import concurrent.futures

from figtray.capacity import situation as situation_lib
from figtray import clock as clock_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.entry import node as node_lib
from figtray.hostlist import memory as hostlist_memory
from figtray.keys import caller_keys
from figtray import metrics as metrics_lib
from figtray.peers import messages
from figtray.settings import types
from figtray.shares import view as view_lib
from figtray.store import memory as store_memory
from figtray import verdict as verdict_lib
from figtray.workers import base as workers_base

DEPLOYMENT = 'target'
# The target size of docs/design.md, 1.3.
HOSTS = 11_000
POOLS = 167
TEAMS = 78
ZONES = 16
REGIONS = 7
ENTRIES = 9
SLOTS_PER_HOST = 8
HOSTS_PER_RACK = 4
KEYS_PER_TEAM = 2
START_S = 2_000_000_000
PERIOD_S = resources.FIVE_WEEKS_MS // 1000
# Part of the hosts that have failed; 110 of 11,000 fail in a day.
FAILED_EVERY = 100
# One pool in this many has more demand than slots.
PEAK_EVERY = 5


def team_name(number):
    """Return the name of a team."""
    return f'team-{number:03d}'


def pool_name(number):
    """Return the name of a pool."""
    return f'pool-{number:03d}'


def queue_name(number):
    """Return the name of the queue of a pool."""
    return f'queue-{number:03d}'


def key_of(team):
    """Return (key id, what the caller presents) of a team's first key."""
    key_id = f'{team:016x}'
    return key_id, f'{caller_keys.PREFIX}_{key_id}_{"0" * 64}'


def make_items(hosts, pools=POOLS, teams=TEAMS):
    """Yield the configuration items of a deployment.

    Args:
        hosts: number of hosts, spread evenly over pools and zones.
        pools: number of pools, the last of which is a spare pool.
        teams: number of teams, each with KEYS_PER_TEAM keys.
    """
    kind = resources.Kind
    for zone in range(ZONES):
        region = f'region-{zone % REGIONS}'
        yield _item(kind.ZONE, f'zone-{zone:02d}', resources.Zone(region))
    per_pool = hosts * SLOTS_PER_HOST // pools
    for number in range(pools):
        is_spare = pools > 1 and number == pools - 1
        spec = resources.Pool(0 if is_spare else per_pool // 2, is_spare)
        yield _item(kind.POOL, pool_name(number), spec)
        spec = resources.Queue(pool_name(number))
        yield _item(kind.QUEUE, queue_name(number), spec)
    for number in range(teams):
        spec = resources.Team(limit=max(1, hosts * SLOTS_PER_HOST // 4))
        yield _item(kind.TEAM, team_name(number), spec)
        for index in range(KEYS_PER_TEAM):
            key_id = key_of(number)[0] if not index else f'f{number:015x}'
            spec = resources.Key(
                team_name(number), caller_keys.hash_secret(key_id, '0' * 64)
            )
            yield _item(kind.KEY, key_id, spec)
    for number in range(hosts):
        zone = number % ZONES
        rack = number // ZONES // HOSTS_PER_RACK
        spec = resources.Host(
            address=f'127.{number >> 16}.{number >> 8 & 255}.'
            f'{number & 255}:8080',
            zone=f'zone-{zone:02d}',
            rack=f'zone-{zone:02d}-rack-{rack}',
            pool=pool_name(number % pools),
            slots=SLOTS_PER_HOST,
            accelerators=1 + (number % 3 == 0),
            maintained_at_s=START_S - number * PERIOD_S // hosts,
        )
        yield _item(kind.HOST, f'host-{number:05d}', spec)


def _item(kind, name, spec):
    return snapshot_lib.Item(kind.value, name, 1, snapshot_lib.spec_data(spec))


def make_snapshot(hosts, pools=POOLS, teams=TEAMS, history=1):
    """Build a Snapshot whose history has a number of marks."""
    mark = snapshot_lib.Mark(history, f'{history:016x}')
    items = {
        (item.kind, item.name): item
        for item in make_items(hosts, pools, teams)
    }
    marks = tuple(
        snapshot_lib.Mark(number, f'{number:016x}')
        for number in range(1, history + 1)
    )
    change_ids = tuple(f'{number:032x}' for number in range(1, history + 1))
    return snapshot_lib.Snapshot(DEPLOYMENT, mark, items, marks, change_ids)


def change_one_host(snapshot, number=0):
    """Return the Change that gives one host another maintenance time."""
    old = snapshot.item(resources.Kind.HOST, f'host-{number:05d}')
    spec = old.spec | {'maintained_at_s': START_S + snapshot.generation}
    item = snapshot_lib.Item(old.kind, old.name, snapshot.generation + 1, spec)
    return snapshot_lib.make_change(
        DEPLOYMENT, snapshot.mark, f'{snapshot.generation:032x}', [item]
    )


def make_demand(pools, teams, shared_ms=0, running=2, queued=2):
    """Return the DemandReport of an entry with every team in every pool."""
    return view_lib.DemandReport(
        shared_ms,
        tuple(
            view_lib.PoolDemand(
                pool_name(pool),
                tuple(
                    view_lib.TeamDemand(team_name(team), running, queued)
                    for team in range(teams)
                ),
            )
            for pool in range(pools)
        ),
    )


def entry_slots(entries=ENTRIES):
    """Return the names of the entry slots."""
    return tuple(f'entry-{number}' for number in range(1, entries + 1))


class InstantWorkers(workers_base.WorkerClient):
    """Workers that answer every start at once."""

    def start(self, address, start, timeout_ms, check):
        result = check()
        if isinstance(result, verdict_lib.NotRun):
            return result
        return verdict_lib.Answered(200, b'done')


class InlineExecutor(concurrent.futures.Executor):
    """Runs every call at once in the calling thread."""

    def submit(self, function, /, *args, **kwargs):
        fut = concurrent.futures.Future()
        fut.set_result(function(*args, **kwargs))
        return fut


def make_node(hosts, pools=POOLS, teams=TEAMS, entries=ENTRIES):
    """Build an entry that may start work; it opens no socket.

    Attempts run in the calling thread, so that the processor time of a
    thread is that of the whole path.

    Args:
        hosts: number of hosts of the configuration.
        pools: number of pools.
        teams: number of teams.
        entries: number of entry slots.

    Returns:
        An entry.node.Node on a ManualClock.
    """
    clock = clock_lib.ManualClock()
    slots = entry_slots(entries)
    cfg = types.EntrySettings(
        deployment=DEPLOYMENT,
        zone='zone-00',
        entries=tuple(
            types.EntrySlot(slot, f'127.0.0.1:{7000 + number}')
            for number, slot in enumerate(slots)
        ),
        store=types.StoreSettings(('127.0.0.1:2379',)),
        host_list=types.HostListSettings('127.0.0.1:8500'),
        slot=slots[0],
        caller_listen='127.0.0.1:0',
        admin_listen='127.0.0.1:0',
    )
    node = node_lib.Node(
        cfg,
        store_memory.MemoryStore(clock),
        hostlist_memory.MemoryHostList(),
        InstantWorkers(),
        clock,
        metrics_lib.Metrics('figtray-entry', cfg.slot),
    )
    # The node makes its own pool of threads.
    node.dispatcher._executor = InlineExecutor()
    node.replica.adopt(make_snapshot(hosts, pools, teams))
    node.right.set_synchronised()
    for slot in slots[1:]:
        node.right.confirm(slot, clock.now_ms())
    node.allotments.join(1)
    node.allotments.grant(
        messages.Grant(
            1,
            tuple(
                messages.TeamAllotment(item.team, item.version, 1000)
                for item in node.allotments.report()
            ),
        )
    )
    node._update_capacity()
    return node


def make_situation(hosts, pools=POOLS):
    """Return the planner's input on an ordinary day.

    One host in a hundred has failed, one pool in five has more demand than
    slots, and the hosts that were maintained longest ago are due.
    """
    names = [pool_name(number) for number in range(pools)]
    per_pool = hosts * SLOTS_PER_HOST / pools
    demand = {
        name: per_pool * (1.2 if not number % PEAK_EVERY else 0.5)
        for number, name in enumerate(names[:-1])
    }
    observation = situation_lib.Observation(
        failed=frozenset(
            f'host-{number:05d}' for number in range(0, hosts, FAILED_EVERY)
        ),
        demand={name: (slots, slots) for name, slots in demand.items()},
        wall_s=START_S,
    )
    return situation_lib.make_situation(
        make_snapshot(hosts, pools), observation
    )
