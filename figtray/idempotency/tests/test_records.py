"""Tests of idempotency keys and their owners."""

import collections

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.idempotency import handover
from figtray.idempotency import owners
from figtray.idempotency import records as records_lib
from figtray.idempotency import registration
from figtray.peers import heartbeat
from figtray.peers import messages
from figtray.store import memory

RETENTION_MS = 60_000
SLOTS = tuple(f'entry-{number}' for number in range(1, 10))


def make_records(first_run=True, max_records=10):
    """Return records and their clock."""
    clock = clock_lib.ManualClock()
    records = records_lib.KeyRecords(RETENTION_MS, max_records, clock)
    records.recorded(first_run)
    return records, clock


class TestKeyRecords:
    """Guards against a key that runs twice."""

    def test_repeated_key_gets_the_first_task(self):
        records, _ = make_records()
        assert records.claim('k', 'd', lambda: 'task') == (
            records_lib.Claim.FIRST,
            'task',
        )
        assert records.claim('k', 'd', pytest.fail) == (
            records_lib.Claim.REPEATED,
            'task',
        )

    def test_other_body_is_refused(self):
        records, _ = make_records()
        records.claim('k', 'd', lambda: 'task')
        claim, _ = records.claim('k', 'other', pytest.fail)
        assert claim is records_lib.Claim.OTHER_BODY

    def test_unknown_key_is_uncertain_after_a_restart(self):
        records, clock = make_records(first_run=False)
        claim, _ = records.claim('k', 'd', pytest.fail)
        assert claim is records_lib.Claim.UNCERTAIN
        clock.advance(RETENTION_MS)
        claim, _ = records.claim('k', 'd', lambda: 'task')
        assert claim is records_lib.Claim.FIRST

    def test_run_that_is_not_on_record_takes_no_key(self):
        clock = clock_lib.ManualClock()
        records = records_lib.KeyRecords(RETENTION_MS, 10, clock)
        clock.advance(10 * RETENTION_MS)
        claim, _ = records.claim('k', 'd', pytest.fail)
        assert claim is records_lib.Claim.UNCERTAIN

    def test_handed_over_keys_make_the_memory_complete(self):
        records, clock = make_records(first_run=False)
        records.take_over([('old', 'd', 5_000, 'old task')])
        claim, task = records.claim('old', 'd', pytest.fail)
        assert (claim, task) == (records_lib.Claim.REPEATED, 'old task')
        claim, _ = records.claim('new', 'd', lambda: 'task')
        assert claim is records_lib.Claim.FIRST
        clock.advance(RETENTION_MS - 4_000)
        claim, _ = records.claim('old', 'd', lambda: 'task')
        assert claim is records_lib.Claim.FIRST

    def test_memory_is_bounded(self):
        records, _ = make_records(max_records=1)
        records.claim('one', 'd', lambda: 'task')
        claim, _ = records.claim('two', 'd', pytest.fail)
        assert claim is records_lib.Claim.FULL

    def test_request_that_did_not_run_frees_its_key(self):
        records, _ = make_records()
        records.claim('k', 'd', lambda: 'task')
        records.forget('k', 'other task')
        claim, _ = records.claim('k', 'd', pytest.fail)
        assert claim is records_lib.Claim.REPEATED
        records.forget('k', 'task')
        claim, _ = records.claim('k', 'd', lambda: 'task')
        assert claim is records_lib.Claim.FIRST

    def test_closed_records_take_no_new_key(self):
        records, _ = make_records()
        records.claim('k', 'd', lambda: 'task')
        assert records.close() == ([('k', 'd', 0, 'task')], 0)
        claim, _ = records.claim('new', 'd', pytest.fail)
        assert claim is records_lib.Claim.CLOSED
        claim, _ = records.claim('k', 'd', pytest.fail)
        assert claim is records_lib.Claim.REPEATED


class TestOwners:
    """Guards against two owners of one key, and against hot spots."""

    def test_order_of_the_slots_does_not_matter(self):
        key = owners.request_key('team', 'key')
        assert owners.owner_slot(SLOTS, key) == owners.owner_slot(
            tuple(reversed(SLOTS)), key
        )

    def test_keys_are_spread(self):
        counts = collections.Counter(
            owners.owner_slot(SLOTS, owners.request_key('t', str(number)))
            for number in range(9_000)
        )
        assert len(counts) == 9
        assert max(counts.values()) < 1_200


class TestRegistration:
    """Guards against a successor that trusts an older hand-over."""

    def make(self, store, run_id):
        return registration.Registration(store, 'd', 'entry-1', run_id)

    def test_names_the_former_run(self):
        store = memory.MemoryStore(clock_lib.ManualClock())
        assert self.make(store, 'one').register() == ''
        assert self.make(store, 'two').register() == 'one'

    def test_lost_reply_does_not_hide_the_former_run(self):
        store = memory.MemoryStore(clock_lib.ManualClock())
        self.make(store, 'one').register()
        record = self.make(store, 'two')
        store.lose_next_reply = True
        with pytest.raises(errors.WriteUncertain):
            record.register()
        assert record.register() == 'one'

    def test_run_that_registers_in_between_is_the_former_one(self):
        store = memory.MemoryStore(clock_lib.ManualClock())
        self.make(store, 'one').register()
        record, get = self.make(store, 'three'), store.get

        def get_before_another(key):
            item, store.get = get(key), get
            self.make(store, 'two').register()
            return item

        store.get = get_before_another
        with pytest.raises(errors.StoreUnavailable):
            record.register()
        assert record.register() == 'two'


class TestHandovers:
    """Guards against records that lack the keys of a later run."""

    def make(self):
        register = heartbeat.PeerRegister(clock_lib.ManualClock())
        handovers = handover.Handovers(register)
        handovers.keep(messages.KeyHandover('entry-1', 'one', ()))
        return register, handovers

    def hear(self, register, run_id):
        register.heard('entry-1', run_id, messages.Heartbeat(None, True, 0))

    def test_next_run_gets_the_records(self):
        register, handovers = self.make()
        self.hear(register, 'one')
        self.hear(register, 'two')
        assert handovers.answer('entry-1', 'two').run_id == 'one'

    def test_run_after_a_crash_gets_nothing(self):
        register, handovers = self.make()
        for run_id in ('one', 'two', 'three'):
            self.hear(register, run_id)
        assert handovers.answer('entry-1', 'three').run_id == ''
