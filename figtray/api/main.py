"""figtray-api: the operators' resource API of one host."""

import concurrent.futures
import uuid

from figtray.api import app as app_lib
from figtray.api import messages
from figtray.api import planning
from figtray.capacity import demand as demand_lib
from figtray import clock as clock_lib
from figtray.configuration import archive as archive_lib
from figtray.configuration import writer as writer_lib
from figtray.hostlist import http as hostlist_http
from figtray import listener
from figtray import metrics as metrics_lib
from figtray.peers import group as group_lib
from figtray import program
from figtray.settings import loader
from figtray.settings import types
from figtray.store import etcd

# Long polls, one change that waits for the store, and reads besides them.
THREADS = 2 * app_lib.MAX_LONG_POLLS
MAX_CONNECTIONS = 64
# Longer than the bound of the application, whose refusal names the bound.
MAX_BODY_BYTES = 2 * messages.MAX_BODY_BYTES
DRAIN_MS = 10_000


def main():
    """Run the program."""
    program.run('figtray-api', types.ApiSettings, _run)


def _run(cfg, stop):
    credential_hash = loader.read_credential_hash(cfg)
    clock = clock_lib.SystemClock()
    metrics = metrics_lib.Metrics('figtray-api', cfg.listen, cfg.metrics)
    store = metrics_lib.StoreMeter(
        etcd.EtcdStore(cfg.store.endpoints, cfg.store.timeout_ms, clock),
        metrics,
    )
    group = group_lib.PeerGroup(
        cfg.addresses,
        f'api {cfg.listen}',
        uuid.uuid4().hex,
        cfg.push_timeout_ms,
    )
    host_list = hostlist_http.HttpHostList(
        cfg.host_list.address, cfg.host_list.timeout_ms, clock
    )
    executor = concurrent.futures.ThreadPoolExecutor(
        1, thread_name_prefix='planner'
    )
    app = app_lib.Application(
        writer_lib.Writer(store, cfg.deployment, group, clock),
        archive_lib.Archive(store, cfg.deployment),
        group,
        clock,
        cfg.deployment,
        credential_hash,
        planner=planning.Planner(
            host_list,
            group,
            lambda: demand_lib.from_status(group.status()),
            clock,
            executor,
        ),
        metrics_page=metrics.page,
    )
    server = listener.Listener(
        cfg.listen,
        app,
        threads=THREADS,
        max_connections=MAX_CONNECTIONS,
        max_body_bytes=MAX_BODY_BYTES,
    )
    server.start()
    stop.wait()
    app.close()
    server.close(timeout_ms=DRAIN_MS)
    executor.shutdown(wait=False, cancel_futures=True)
    group.close()
    store.close()
    metrics.close()


if __name__ == '__main__':
    main()
