"""Tests of the leader's group commit of records."""

import pytest

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
