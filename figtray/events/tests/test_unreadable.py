"""Tests of the log of unreadable records."""

import logbook
import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.events import unreadable


class TestUnreadableLog:
    @pytest.fixture(autouse=True)
    def _set_up(self):
        self.clock = clock_lib.ManualClock()
        self.log = unreadable.UnreadableLog(self.clock)
        with logbook.TestHandler() as self.handler:
            yield

    def note(self, record, detail='malformed'):
        self.log.note(
            record, errors.UnreadableMessage(what=record, detail=detail)
        )

    def named(self):
        """Return the records that are named in the log."""
        return [
            line.extra['fields']['record'] for line in self.handler.records
        ]

    # Guards against a log that grows with each read of an odd record.
    def test_record_that_changes_at_each_read_is_named_again(self):
        for number in range(50):
            self.note('servers/odd', f'error {number}')
            self.clock.advance(500)
        assert self.named() == ['servers/odd']

    # Guards against a record that goes bad a second time unseen.
    def test_record_that_turns_odd_again_is_not_named(self):
        self.note('servers/odd')
        self.clock.advance(unreadable.FORGET_MS)
        self.note('servers/odd')
        assert self.named() == ['servers/odd', 'servers/odd']

    # Guards against a log and a memory that grow with the odd records.
    def test_each_of_very_many_records_is_named(self):
        for number in range(unreadable.MAX_NAMED * 3):
            self.note(f'servers/{number}')
        named = self.named()
        assert len(named) == unreadable.MAX_NAMED + 1
        assert named[-1] == f'servers/{unreadable.MAX_NAMED} and others'
        self.clock.advance(unreadable.FORGET_MS)
        self.note('servers/late')
        assert self.named()[-1] == 'servers/late'
