"""Tests of the leader's group commit of records."""

import concurrent.futures

import logbook
import pytest

from figtray import errors
from figtray.events import catalogue
from figtray.leadership import term as terms
from figtray.platform import store as platform_store
from figtray.scheduling.tests import harness
from figtray.scheduling import writer as writers
from figtray.store import base
from figtray.store.tests import outages


@pytest.fixture
def fleet():
    return harness.Fleet(0)


@pytest.fixture
def writer(fleet):
    return fleet.elect_leader().writer


def value(fleet, key):
    item = fleet.store.get(key)
    return item.value if item else None


class TestWrites:
    def test_newest_value_is_written(self, fleet, writer):
        values = [b'old']
        sequence = writer.enqueue('k', lambda: values[-1])
        values.append(b'new')
        assert not writer.wait(sequence, 0)
        writer.flush()
        assert writer.wait(sequence, 0)
        assert value(fleet, 'k') == b'new'

    def test_many_records_take_several_calls(self, fleet, writer):
        count = writers.KEYS_PER_TXN + 1
        sequences = [
            writer.enqueue(f'k{n}', lambda: b'v') for n in range(count)
        ]
        writer.flush()
        assert writer.wait(sequences[-2], 0)
        assert not writer.wait(sequences[-1], 0)
        writer.flush()
        assert writer.wait(sequences[-1], 0)

    def test_waiting_threads_go_on_as_their_writes_are_stored(
        self, fleet, writer
    ):
        count = writers.KEYS_PER_TXN + 1
        sequences = [
            writer.enqueue(f'k{n}', lambda: b'v') for n in range(count)
        ]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            first, last = (
                pool.submit(writer.wait, sequence, 20_000)
                for sequence in (sequences[0], sequences[-1])
            )
            writer.flush()
            assert first.result()
            assert not last.done()
            writer.flush()
            assert last.result()

    def test_wait_that_ends_too_early_leaves_the_others(self, fleet, writer):
        sequence = writer.enqueue('k', lambda: b'v')
        assert not writer.wait(sequence, 1)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            other = pool.submit(writer.wait, sequence, 20_000)
            writer.flush()
            assert other.result()

    def test_write_without_reply_is_repeated(self, fleet, writer):
        fleet.store.replies_to_lose = 1
        sequence = writer.enqueue('k', lambda: b'v')
        while not writer.flush_once():
            pass
        assert writer.wait(sequence, 0)
        assert value(fleet, 'k') == b'v'

    def test_outage_keeps_the_batch(self, fleet, writer):
        sequence = writer.enqueue('k', lambda: b'v')
        fleet.store.down = True
        assert not writer.flush_once()
        assert not writer.wait(sequence, 0)
        fleet.store.down = False
        assert writer.flush_once()
        assert writer.wait(sequence, 0)

    def test_none_deletes_the_key(self, fleet, writer):
        writer.enqueue('k', lambda: b'v')
        writer.flush()
        writer.enqueue('k', lambda: None)
        writer.flush()
        assert value(fleet, 'k') is None

    # Guards against what is kept of each key that was ever written.
    def test_deleted_keys_are_forgotten(self, fleet, writer):
        for number in range(100):
            for value_of_key in (b'v', None):
                writer.enqueue(f'k{number}', lambda v=value_of_key: v)
                writer.flush()
        assert not fleet.store.range('k').items
        assert not [key for key in writer._revisions if key[0] == 'k']
        # A key that comes back is written as one that never was.
        writer.enqueue('k1', lambda: b'v')
        writer.flush()
        assert value(fleet, 'k1') == b'v'


class TestFencing:
    # A delayed write must not overwrite a later one.
    def test_late_write_changes_nothing(self, fleet, writer):
        writer.enqueue('k', lambda: b'1')
        writer.flush()
        revision = fleet.store.get('k').mod_revision
        writer.enqueue('k', lambda: b'2')
        writer.flush()
        late = fleet.store.txn(
            [base.Compare('k', 'mod_revision', revision)],
            [base.Put('k', b'1')],
        )
        assert not late.succeeded
        assert value(fleet, 'k') == b'2'

    def test_former_leader_writes_nothing(self, fleet, writer):
        fleet.elect_leader()
        writer.enqueue('k', lambda: b'v')
        writer.flush()
        assert value(fleet, 'k') is None
        assert writer._term.ended.is_set()

    def test_expired_lease_ends_the_term(self, fleet, writer):
        fleet.clock.advance(terms.LEASE_TTL_MS + 1)
        writer.enqueue('k', lambda: b'v')
        writer.flush()
        assert value(fleet, 'k') is None


class TestRecordsLeftOut:
    """Records that can't be encoded, or are too large for the store."""

    @pytest.fixture(autouse=True)
    def limited_store(self, fleet, monkeypatch):
        """Refuse large values as the platform's store does."""

        def txn(compares, puts=(), deletes=(), timeout_ms=None):
            if any(len(put.value) > writers.MAX_RECORD_BYTES for put in puts):
                raise errors.StoreUnavailable(detail='unexpected status 400')
            return write(compares, puts, deletes, timeout_ms)

        write = fleet.store.txn
        monkeypatch.setattr(fleet.store, 'txn', txn)

    @pytest.fixture(params=['large', 'odd'])
    def encode(self, request):
        """Function that encodes a record that can't be stored."""

        def fail():
            raise OverflowError('odd')

        large = b'v' * (writers.MAX_RECORD_BYTES + 1)
        return {'large': lambda: large, 'odd': fail}[request.param]

    def test_largest_record_is_left_out(self, fleet, writer):
        largest = b'v' * writers.MAX_RECORD_BYTES
        sequence = writer.enqueue('k', lambda: largest)
        assert writer.flush_once()
        assert writer.is_written(sequence, 'k')
        assert value(fleet, 'k') == largest

    # The writer tried a batch with a record of 1.1 MB until its term ended,
    # and no other record was stored.
    @pytest.mark.parametrize('urgent', [False, True])
    def test_record_holds_up_all_others(self, fleet, writer, encode, urgent):
        writer.enqueue('bad', encode, urgent)
        sequence = writer.enqueue('k', lambda: b'v', urgent)
        assert writer.flush_once()
        assert value(fleet, 'k') == b'v'
        assert writer.is_written(sequence, 'k')
        assert writer.is_written(sequence)
        assert not writer.has_pending()

    # A start would be ordered although its placement is not stored.
    @pytest.mark.parametrize('urgent', [False, True])
    def test_left_out_record_counts_as_stored(self, writer, encode, urgent):
        stored = writer.enqueue('bad', lambda: b'v')
        writer.flush_once()
        first = writer.enqueue('bad', encode, urgent)
        again = writer.enqueue('bad', encode, urgent)
        writer.flush_once()
        later = writer.enqueue('bad', encode)
        writer.flush_once()
        assert writer.is_written(stored, 'bad')
        for sequence in (first, again, later):
            assert not writer.is_written(sequence, 'bad')
            assert not writer.wait(sequence, 0, 'bad')

    @pytest.mark.parametrize('value', [b'v', None])
    @pytest.mark.parametrize('urgent', [False, True])
    def test_key_stays_unstored_after_a_later_write(
        self, writer, encode, urgent, value
    ):
        first = writer.enqueue('bad', encode, urgent)
        writer.flush_once()
        later = writer.enqueue('bad', lambda: value)
        assert not writer.is_written(first, 'bad')
        assert not writer.is_written(later, 'bad')
        writer.flush_once()
        assert writer.is_written(first, 'bad')
        assert writer.is_written(later, 'bad')

    # A batch that is tried again encodes its records anew.
    def test_record_that_shrinks_stays_left_out(self, fleet, writer):
        values = [b'v' * (writers.MAX_RECORD_BYTES + 1)]
        sequence = writer.enqueue('bad', lambda: values[-1])
        writer.enqueue('k', lambda: b'v')
        fleet.store.down = True
        assert not writer.flush_once()
        fleet.store.down = False
        values.append(b'v')
        assert writer.flush_once()
        assert writer.is_written(sequence, 'bad')

    # The log grew with each try.
    def test_left_out_record_is_named_at_each_write(self, writer, encode):
        with logbook.TestHandler() as handler:
            for _ in range(5):
                writer.enqueue('bad', encode)
                writer.flush_once()
        [line] = harness.logged(handler, catalogue.UNEXPECTED_EXCEPTION)
        assert line['where'] == 'record bad'
        assert len(handler.records) == 1


class TestWaitForARecord:
    """Time until a record is stored for which a start waits."""

    # Time of a call of the store.
    CALL_MS = 5
    # Most records that a leader queues at a time, as it takes over.
    QUEUED = 40 * writers.KEYS_PER_TXN

    @pytest.fixture
    def store(self):
        return outages.HangingStore()

    @pytest.fixture
    def writer(self, store):
        return harness.Fleet(0, store=store).elect_leader().writer

    def write(self, writer, sequence):
        """Run the writer until a record is stored."""
        writer._term.ended = outages.Condition(
            lambda: writer.is_written(sequence)
        )
        writer.run()

    # The writer waited for more records before each batch, although those of
    # many batches were queued, and the start of a task waited for them all.
    def test_start_waits_for_a_pause_before_each_batch(self, store, writer):
        def txn(*args, **kwargs):
            store.clock.advance(self.CALL_MS)
            return write(*args, **kwargs)

        write, store.txn = store.txn, txn
        for number in range(self.QUEUED):
            writer.enqueue(f'k{number}', lambda: b'v')
        sequence = writer.enqueue('placement', lambda: b'v')
        began_ms = store.clock.now_ms()
        self.write(writer, sequence)
        calls = self.QUEUED // writers.KEYS_PER_TXN + 1
        assert store.clock.now_ms() - began_ms <= (
            calls * self.CALL_MS + writers.BATCH_DELAY_MS
        )

    # A backlog of thousands of records held up the starts of lasting tasks,
    # the leases on all workers and the orders for hosts for seconds.
    @pytest.mark.parametrize('is_queued_before', [True, False])
    def test_urgent_record_waits_for_a_backlog(self, writer, is_queued_before):
        if is_queued_before:
            writer.enqueue('k-last', lambda: b'v')
        backlog = [
            writer.enqueue(f'k{number}', lambda: b'v')
            for number in range(self.QUEUED)
        ]
        writer.enqueue('k-last', lambda: b'v')
        sequence = writer.enqueue('k-last', lambda: b'v', urgent=True)
        assert not writer.is_written(sequence, 'k-last')
        writer.flush()
        assert writer.is_written(sequence, 'k-last')
        assert not writer.is_written(sequence)
        assert not writer.is_written(backlog[-1])
        while writer.has_pending():
            writer.flush()
        assert writer.is_written(sequence)

    # A record that was changed while it was being written counted as stored.
    def test_record_that_changes_in_its_write_counts_as_stored(
        self, store, writer
    ):
        def txn(*args, **kwargs):
            sequences.append(writer.enqueue('k', lambda: b'2', urgent=True))
            store.txn = write
            return write(*args, **kwargs)

        write, store.txn = store.txn, txn
        sequences = [writer.enqueue('k', lambda: b'1', urgent=True)]
        writer.flush()
        assert writer.is_written(sequences[0], 'k')
        assert not writer.is_written(sequences[1], 'k')
        writer.flush()
        assert writer.is_written(sequences[1], 'k')

    # A call that hangs, or is repeated too late, holds the start for longer
    # than the outage.
    @pytest.mark.parametrize('outage_ms', range(100, 3000, 100))
    def test_record_is_stored_long_after_an_outage(
        self, store, writer, outage_ms
    ):
        sequence = writer.enqueue('placement', lambda: b'v')
        store.fail_for(outage_ms)
        self.write(writer, sequence)
        assert store.since_back_ms() <= (
            platform_store.CALL_TIMEOUT_MS
            + writers.RETRY_MS
            + writers.BATCH_DELAY_MS
        )
