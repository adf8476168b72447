"""figtray-entry: callers' API, queues, dispatch and peers of one host."""

import threading

from figtray import admin
from figtray import clock as clock_lib
from figtray.entry import app as app_lib
from figtray.entry import node as node_lib
from figtray import errors
from figtray.hostlist import http as hostlist_http
from figtray import listener
from figtray import metrics as metrics_lib
from figtray import program
from figtray.settings import types
from figtray.store import etcd
from figtray.workers import http as workers_http

# Threads that serve requests which do not wait for an outcome.
SHORT_REQUEST_THREADS = 8


def main():
    """Run the program."""
    program.run('figtray-entry', types.EntrySettings, _run)


def _run(cfg, stop):
    clock = clock_lib.SystemClock()
    metrics = metrics_lib.Metrics('figtray-entry', cfg.slot, cfg.metrics)
    store = metrics_lib.StoreMeter(
        etcd.EtcdStore(cfg.store.endpoints, cfg.store.timeout_ms, clock),
        metrics,
    )
    host_list = hostlist_http.HttpHostList(
        cfg.host_list.address, cfg.host_list.timeout_ms, clock
    )
    client = workers_http.HttpWorkerClient(clock, cfg.connections_per_worker)
    node = node_lib.Node(cfg, store, host_list, client, clock, metrics)
    state = _State(node)
    callers = listener.Listener(
        cfg.caller_listen,
        app_lib.CallersApp(node, cfg, clock, metrics),
        threads=cfg.wait_threads + SHORT_REQUEST_THREADS,
        max_connections=cfg.max_connections,
        max_header_bytes=cfg.max_header_bytes,
        max_body_bytes=cfg.max_body_bytes,
        channel_timeout_ms=cfg.channel_timeout_ms,
    )
    admin_listener = admin.AdminListener(
        cfg.admin_listen, state.not_ready, state.debug, metrics
    )
    try:
        node.start()
    except OSError as exc:
        raise errors.ListenFailed(
            address=cfg.addresses[cfg.slot], detail=str(exc)
        ) from exc
    callers.start()
    admin_listener.start()
    node.stop_when(stop)
    stop.wait()
    state.stopping = True
    # The load balancer sees `not ready` before requests are refused.
    clock.wait(threading.Event(), cfg.ready_grace_ms)
    callers.stop_accepting()
    node.drain()
    callers.close(timeout_ms=cfg.drain_ms)
    node.close()
    admin_listener.close()


class _State:
    """What the admin listener tells of this process."""

    def __init__(self, node):
        self._node = node
        self.stopping = False

    def not_ready(self):
        """Return why this entry should get no requests, or ''."""
        if self.stopping:
            return 'stopping'
        if not self._node.right.synchronised:
            return 'the configuration is not synchronised'
        if not self._node.right.holds():
            return 'no serving right'
        return ''

    def debug(self):
        """Return what this process believes."""
        return self._node.debug()


if __name__ == '__main__':
    main()
