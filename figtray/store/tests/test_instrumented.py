"""Tests of the store that counts the calls to another one."""

import threading

import pytest

from figtray import errors
from figtray import metrics
from figtray.store import instrumented
from figtray.store import memory


class TestInstrumentedStore:
    # Guards against store calls that are not counted.
    def test_counts_by_kind_and_outcome(self):
        meter = metrics.Metrics('test')
        store = instrumented.InstrumentedStore(memory.MemoryStore(), meter)
        store.get('a')
        store.grant_lease(1000)
        stop = threading.Event()
        stop.set()
        list(store.watch('a', 1, stop))
        lines = meter.page().splitlines()
        for kind, outcome in (
            ('get', 'ok'),
            ('grant_lease', 'ok'),
            ('watch', 'started'),
        ):
            assert (
                f'figtray_store_calls_total{{kind="{kind}",'
                f'outcome="{outcome}"}} 1'
            ) in lines

    # Guards against failed store calls that are counted as successful.
    @pytest.mark.parametrize(
        'error, outcome',
        [
            (errors.StoreUnavailable, 'unavailable'),
            (errors.WriteUncertain, 'uncertain'),
            (KeyError, 'error'),
        ],
    )
    def test_counts_failures(self, error, outcome):
        class Failing(memory.MemoryStore):
            def txn(self, compares, puts=(), deletes=()):
                raise error('x')

        meter = metrics.Metrics('test')
        with pytest.raises(error):
            instrumented.InstrumentedStore(Failing(), meter).txn(())
        assert f'{{kind="txn",outcome="{outcome}"}} 1' in meter.page()
