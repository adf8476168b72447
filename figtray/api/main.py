"""Program figtray-api, which serves the operators' resource API."""

import dataclasses

from figtray.api import app as app_lib
from figtray.api import messages
from figtray import clock as clock_lib
from figtray.ingress import limits as ingress_limits
from figtray import listener
from figtray import metrics as metrics_lib
from figtray.platform import registry
from figtray.platform import status as status_lib
from figtray.platform import store as stores
from figtray.platform import view as views
from figtray import program
from figtray.settings import loader
from figtray.settings import types
from figtray.store import instrumented

# Long polls occupy at most half of the threads. The others serve reads and
# changes, of which one at a time accesses the store.
LISTENER_THREADS = 2 * app_lib.MAX_LONG_POLLS
MAX_CONNECTIONS = 64
# Larger than the application's own limit, so that the application rejects
# such a body with an error that names the limit.
MAX_BODY_BYTES = 2 * messages.MAX_BODY_BYTES
DRAIN_TIMEOUT_MS = 10_000


def main():
    """Run the program."""
    program.run('figtray-api', types.ApiSettings, _run)


def _run(cfg, stop):
    credential_hash = loader.read_credential_hash(cfg)
    clock = clock_lib.SystemClock()
    metrics = metrics_lib.Metrics('figtray-api', cfg.listen, cfg.metrics)
    store = instrumented.InstrumentedStore(
        stores.PlatformStore(
            cfg.store.address, clock, call_ms=cfg.store.timeout_ms
        ),
        metrics,
    )

    def read_status():
        view = views.OperatorView(store, clock, cfg.in_force_ms)
        return dataclasses.asdict(status_lib.read(store, view))

    app = app_lib.Application(
        registry.PlatformRegistry(store),
        read_status,
        clock,
        cfg.deployment,
        credential_hash,
        cfg.in_force_ms,
        metrics_page=metrics.page,
    )
    server = listener.Listener(
        cfg.listen,
        app,
        threads=LISTENER_THREADS,
        limits=ingress_limits.Limits(max_connections=MAX_CONNECTIONS),
        max_body_bytes=MAX_BODY_BYTES,
    )
    server.start()
    stop.wait()
    app.close()
    server.close(timeout_ms=DRAIN_TIMEOUT_MS)
    store.close()
    metrics.close()


if __name__ == '__main__':
    main()
