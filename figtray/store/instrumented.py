"""Store that counts the calls to another one in the metrics."""

from figtray import errors
from figtray.store import base


class InstrumentedStore(base.Store):
    """Store that counts the calls to another Store.

    Args:
        store: the Store to call.
        metrics: the Metrics that hold the counter.
    """

    def __init__(self, store, metrics):
        self._store = store
        self._metrics = metrics

    def get(self, key, timeout_ms=None):
        return self._call('get', key, **_timeout_argument(timeout_ms))

    def range(self, prefix):
        return self._call('range', prefix)

    def pages(self, prefix):
        # A read by parts is one call, counted at its start, as a watch is.
        self._metrics.count_store_call('range', 'started')
        try:
            yield from self._store.pages(prefix)
        except errors.FigtrayError:
            self._metrics.count_store_call('range', 'broken')
            raise

    def txn(self, compares, puts=(), deletes=(), timeout_ms=None):
        return self._call(
            'txn', compares, puts, deletes, **_timeout_argument(timeout_ms)
        )

    def grant_lease(self, ttl_ms):
        return self._call('grant_lease', ttl_ms)

    def keep_alive(self, lease_id):
        return self._call('keep_alive', lease_id)

    def revoke(self, lease_id):
        return self._call('revoke', lease_id)

    def watch(self, prefix, start_revision, stop, wait_ms=base.WATCH_WAIT_MS):
        # A watch is one call, counted at its start.
        self._metrics.count_store_call('watch', 'started')
        try:
            yield from self._store.watch(prefix, start_revision, stop, wait_ms)
        except errors.FigtrayError:
            self._metrics.count_store_call('watch', 'broken')
            raise

    def close(self):
        self._store.close()

    def _call(self, kind, *args, **kwargs):
        outcome = 'error'
        try:
            result = getattr(self._store, kind)(*args, **kwargs)
            outcome = 'ok'
            return result
        except errors.StoreUnavailable:
            outcome = 'unavailable'
            raise
        except errors.WriteUncertain:
            outcome = 'uncertain'
            raise
        finally:
            self._metrics.count_store_call(kind, outcome)


def _timeout_argument(timeout_ms):
    return {} if timeout_ms is None else {'timeout_ms': timeout_ms}
