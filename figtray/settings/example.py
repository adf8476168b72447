"""Writer of the example deployments in examples/."""

import dataclasses
import json
import pathlib

DIRECTORY = pathlib.Path(__file__).parents[2] / 'examples'
RACK_HOSTS = 4

PEER_PORT = 7001
CALLER_PORT = 8001
ADMIN_PORT = 8002
API_PORT = 8100
STORE_PORT = 2379
HOST_LIST_PORT = 7100
WORKER_PORT = 9000

# Third number of the loopback address of each kind of process; the fourth
# is the number of the process.
PLATFORM_NET = 0
ENTRY_NET = 1
API_NET = 2
CONTROLLER_NET = 3
WORKER_NET = 10


@dataclasses.dataclass(frozen=True)
class Pool:
    """A pool, its guarantee and the number of its workers."""

    min_slots: int
    workers: int
    spare: bool = False


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What one user of figtray runs.

    Attributes:
        name: name of the deployment.
        title: its full name, for comments.
        net: second number of all loopback addresses.
        region: region of all zones.
        zones: number of entries in each zone, by name.
        pools: pools by name.
        teams: (weight, limit) by name.
        queues: specifications by name.
        weights: importance of the measures.
    """

    name: str
    title: str
    net: int
    region: str
    zones: dict
    pools: dict
    teams: dict
    queues: dict
    weights: dict

    def entries(self):
        """Return (slot, zone, number) of each entry, in slot order."""
        zones = [
            zone for zone, count in self.zones.items() for _ in range(count)
        ]
        return [
            (f'entry-{number}', zone, number)
            for number, zone in enumerate(zones, 1)
        ]

    def address(self, net, number, port):
        """Return the address of one process."""
        return f'127.{self.net}.{net}.{number}:{port}'

    def hosts(self):
        """Return the host specifications by name.

        The hosts of a pool are spread evenly over the zones. Inside a zone
        the racks are filled pool after pool, so that two hosts of one pool
        stand in different racks.
        """
        placed = {zone: 0 for zone in self.zones}
        hosts = {}
        widest = max(pool.workers for pool in self.pools.values())
        for number in range(widest):
            zone = list(self.zones)[number % len(self.zones)]
            for index, (name, pool) in enumerate(self.pools.items()):
                if number >= pool.workers:
                    continue
                rack = placed[zone] // RACK_HOSTS + 1
                placed[zone] += 1
                hosts[f'{name}-{number + 1}'] = {
                    'address': self.address(
                        WORKER_NET + index, number + 1, WORKER_PORT
                    ),
                    'zone': zone,
                    'rack': f'{zone}-rack-{rack}',
                    'pool': name,
                    'slots': 8,
                    'connections': 64,
                }
        return dict(sorted(hosts.items()))


CO_OPERATIVE = Deployment(
    name='co-operative',
    title='Delta Sludge Haulers Co-operative',
    net=1,
    region='delta',
    zones={'zone-1': 3, 'zone-2': 2, 'zone-3': 2, 'zone-4': 2},
    # 48 slots are what a pool of 8 workers keeps when it loses one of four
    # zones, so the spare pool is free for peaks and drains.
    pools={
        'quoting': Pool(48, 8),
        'dispatch': Pool(48, 8),
        'plant-gate': Pool(48, 8),
        'convoys': Pool(48, 8),
        'administration': Pool(16, 8, spare=True),
    },
    teams={
        'city-water': (4, 160),
        'harbour-board': (3, 120),
        'river-trust': (2, 80),
        'dairy-union': (1, 40),
        'paper-mill': (1, 40),
        'walk-in': (1, 24),
    },
    queues={
        'quoting': {'pool': 'quoting'},
        'public-quotes': {
            'pool': 'quoting',
            'open': True,
            'open_team': 'walk-in',
            'max_queued': 500,
        },
        'dispatch': {'pool': 'dispatch'},
        'plant-gate': {'pool': 'plant-gate'},
        'convoys': {'pool': 'convoys'},
        'convoy-departures': {
            'pool': 'convoys',
            'ordered': True,
            'teams': ['city-water', 'harbour-board'],
        },
        'administration': {'pool': 'administration'},
    },
    weights={'outage_work': 3, 'share': 3, 'moves': 1, 'roll_out': 1},
)

BUREAU = Deployment(
    name='bureau',
    title='Himal Grid Connections Bureau',
    net=2,
    region='himal',
    zones={'zone-1': 3, 'zone-2': 3, 'zone-3': 2},
    # 32 slots are what a pool of 6 workers keeps when it loses one of three
    # zones.
    pools={
        'household': Pool(32, 6),
        'hydro': Pool(32, 6),
        'feeder': Pool(32, 6),
        'solar': Pool(32, 6),
        'records': Pool(8, 6, spare=True),
    },
    teams={
        'valley-office': (4, 120),
        'ridge-office': (3, 90),
        'hydro-agency': (2, 60),
        'solar-installers': (1, 30),
        'survey-crews': (1, 30),
        'public-desk': (1, 18),
    },
    queues={
        'household': {'pool': 'household'},
        'household-enquiries': {
            'pool': 'household',
            'open': True,
            'open_team': 'public-desk',
            'max_queued': 500,
        },
        'hydro': {'pool': 'hydro'},
        'feeder': {'pool': 'feeder'},
        'feeder-switching': {
            'pool': 'feeder',
            'ordered': True,
            'teams': ['valley-office', 'ridge-office'],
        },
        'solar': {'pool': 'solar'},
        'records': {'pool': 'records'},
    },
    weights={'outage_work': 1, 'share': 1, 'moves': 3, 'roll_out': 3},
)

DEPLOYMENTS = (CO_OPERATIVE, BUREAU)


def render(deployment):
    """Render all files of a deployment.

    Args:
        deployment: a Deployment.

    Returns:
        Mapping of file name to text.
    """
    files = {
        'common.json5': _common(deployment),
        'deployment.json5': _resources(deployment),
    }
    for slot, zone, number in deployment.entries():
        for name, fields in (
            (
                slot,
                {
                    'slot': slot,
                    'caller_listen': deployment.address(
                        ENTRY_NET, number, CALLER_PORT
                    ),
                    'admin_listen': deployment.address(
                        ENTRY_NET, number, ADMIN_PORT
                    ),
                },
            ),
            (
                f'api-{number}',
                {
                    'listen': deployment.address(API_NET, number, API_PORT),
                    'credential_file': 'api-credential.sha256',
                },
            ),
            (
                f'controller-{number}',
                {
                    'name': f'controller-{number}',
                    'admin_listen': deployment.address(
                        CONTROLLER_NET, number, ADMIN_PORT
                    ),
                },
            ),
        ):
            head = f'{deployment.title}: {name} in {zone}.'
            files[f'{name}.json5'] = _object(
                [head], {'include': 'common.json5', 'zone': zone} | fields
            )
    return files


def main():
    """Write the files of all deployments."""
    for deployment in DEPLOYMENTS:
        directory = DIRECTORY / deployment.name
        directory.mkdir(parents=True, exist_ok=True)
        for name, text in render(deployment).items():
            (directory / name).write_text(text)


def _common(deployment):
    return _object(
        [
            f'{deployment.title}: settings that all programs share.',
            'Generated by python -m figtray.settings.example.',
        ],
        {
            'deployment': deployment.name,
            'entries': [
                {
                    'slot': slot,
                    'address': deployment.address(
                        ENTRY_NET, number, PEER_PORT
                    ),
                }
                for slot, _, number in deployment.entries()
            ],
            'store': {
                'endpoints': [deployment.address(PLATFORM_NET, 1, STORE_PORT)],
                'timeout_ms': 2000,
            },
            'host_list': {
                'address': deployment.address(PLATFORM_NET, 2, HOST_LIST_PORT),
                'timeout_ms': 1000,
                'poll_ms': 1000,
            },
            'log': {'level': 'info', 'destination': 'stderr'},
            'metrics': {'otlp_endpoint': '', 'export_interval_ms': 10_000},
        },
    )


def _resources(deployment):
    return _object(
        [
            f"{deployment.title}: the operators' resources.",
            'Generated by python -m figtray.settings.example.',
            'Keys are created with POST /v1/keys; their secrets are in no '
            'file.',
        ],
        {
            'zones': {
                zone: {'region': deployment.region, 'in_service': True}
                for zone in deployment.zones
            },
            'pools': {
                name: {'min_slots': pool.min_slots, 'spare': pool.spare}
                for name, pool in deployment.pools.items()
            },
            'hosts': deployment.hosts(),
            'teams': {
                name: {'weight': weight, 'limit': limit}
                for name, (weight, limit) in deployment.teams.items()
            },
            'queues': deployment.queues,
            'policy': {'deployment': {'weights': deployment.weights}},
        },
    )


def _object(comments, fields):
    """Render an object with one line for each member of a container."""
    lines = [f'// {comment}' for comment in comments] + ['{']
    for name, value in fields.items():
        if isinstance(value, dict):
            lines.append(f'  {name}: {{')
            lines += [
                f'    {json.dumps(key)}: {json.dumps(item)},'
                for key, item in value.items()
            ]
            lines.append('  },')
        elif isinstance(value, list):
            lines.append(f'  {name}: [')
            lines += [f'    {json.dumps(item)},' for item in value]
            lines.append('  ],')
        else:
            lines.append(f'  {name}: {json.dumps(value)},')
    return '\n'.join([*lines, '}', ''])


if __name__ == '__main__':
    main()
