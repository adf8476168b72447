"""Configuration of a stand-in site, and settings of its nodes."""

import dataclasses
import random
import socket

CALLER_HOST = 'jobs.example'
API_KEY = 'demo-key'
PATH_PREFIX = '/jobs/'
ZONES = ('zone-a', 'zone-b')
LOOPBACK = '127.0.0.1'
# Range from which the ports of nodes are taken.
FIRST_PORT, LAST_PORT = 10_000, 32_000
# Ports that must be free for a node: two for listeners, and the internal ones,
# of which the third serves the metrics.
PORTS_PER_NODE = 8


@dataclasses.dataclass(frozen=True)
class Team:
    """Team of the configuration.

    Attributes:
        name: its name.
        key: its API key.
        limit_milli: its limit in thousandths of a core; 0 = none.
    """

    name: str
    key: str
    limit_milli: int


def config_document(version, keys, limit_milli, other_teams):
    """Return a version of the configuration as plain data.

    Args:
        version: its number.
        keys: API keys of the first team.
        limit_milli: its limit in thousandths of a core; 0 = none.
        other_teams: further Teams.
    """
    return {
        'version': version,
        'routes': [
            {
                'name': 'jobs',
                'host': CALLER_HOST,
                'prefix': PATH_PREFIX,
                'service': 'main',
                'attempts': 3,
                'stretch': 2,
                'target_latency_ms': 1000,
            }
        ],
        'services': [{'name': 'main'}, {'name': 'spare', 'spare': True}],
        'tenants': [
            {
                'name': 'demo',
                'api_keys': list(keys),
                'weight': 1,
                'maximum': {'cpu': limit_milli},
            },
            *(
                {
                    'name': team.name,
                    'api_keys': [team.key],
                    'weight': 1,
                    'maximum': {'cpu': team.limit_milli},
                }
                for team in other_teams
            ),
        ],
    }


def node_settings(name, store_address, hosts_address):
    """Return the settings of an additional node as plain data.

    Args:
        name: name of the node.
        store_address: `host:port` of the store for this node.
        hosts_address: `host:port` of the host service for this node.
    """
    ports = _free_ports(4)
    return {
        'node_name': name,
        'ip': LOOPBACK,
        'zone': ZONES[0],
        'listen': {
            'front': f'{LOOPBACK}:{ports[0]}',
            'ready': f'{LOOPBACK}:{ports[1]}',
        },
        'internal_ports': [ports[2], ports[2] + 3],
        'platform': {'address': store_address},
        'cloud': {'address': hosts_address},
        'limits': {'cpu_share': 1.0, 'cores': 2, 'memory_mb': 300},
    }


def _free_ports(count):
    """Return adjacent ports that are free now.

    They lie below the ephemeral range, from which the system takes ports
    for outgoing connections, so that none is taken while a node restarts.
    """
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - PORTS_PER_NODE)
        try:
            for port in range(first, first + PORTS_PER_NODE):
                with socket.socket() as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        return list(range(first, first + count))
