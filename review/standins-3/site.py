"""Store and host service of a stand-in site, in one process.

They are the project's own stand-ins. It prints its two addresses, then reads
commands, one JSON object a line: `machine` with `pool`, `state`, `id`.
"""

import json
import sys

from figtray.fleet import memory_hosts
from figtray.fleet import model as fleet
from figtray.jobs import model
from figtray.platform import standin_server
from figtray.platform import standin_services
from figtray.store import memory


def main():
    store = standin_services.start_store_server(
        '127.0.0.1:0', memory.MemoryStore()
    )
    hosts = memory_hosts.MemoryHosts()
    service = standin_server.Server(
        '127.0.0.1:0', standin_services.HostService(hosts)
    )
    service.start()
    print(json.dumps([store.address, service.address]), flush=True)
    for line in sys.stdin:
        row = json.loads(line)
        hosts.hosts[row['machine']] = fleet.Host(
            row['machine'],
            row['pool'],
            fleet.HostState(row['state']),
            row['zone'],
            ('a', row['rack']),
            model.Resources(row['cpu'], row['mem']),
            row['id'],
        )
        print('ok', flush=True)


if __name__ == '__main__':
    main()
