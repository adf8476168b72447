"""Tests of the log of unreadable records."""

import json

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.events import log
from figtray.events import unreadable


class TestUnreadableLog:
    @pytest.fixture(autouse=True)
    def _set_up(self, tmp_path):
        path = tmp_path / 'log'
        log.setup('info', str(path), 'test')
        self.clock = clock_lib.ManualClock()
        self.log = unreadable.UnreadableLog(self.clock)
        self.read = lambda: [
            json.loads(line)['fields']['record']
            for line in path.read_text().splitlines()
        ]
        yield
        log.reset()

    def note(self, record, detail='malformed'):
        self.log.note(
            record, errors.UnreadableMessage(what=record, detail=detail)
        )

    # Guards against a log that grows with each read of an odd record.
    def test_record_that_changes_at_each_read_is_named_again(self):
        for number in range(50):
            self.note('servers/odd', f'error {number}')
            self.clock.advance(500)
        log.flush()
        assert self.read() == ['servers/odd']

    # Guards against a record that goes bad a second time unseen.
    def test_record_that_turns_odd_again_is_not_named(self):
        self.note('servers/odd')
        self.clock.advance(unreadable.FORGET_MS)
        self.note('servers/odd')
        log.flush()
        assert self.read() == ['servers/odd', 'servers/odd']

    # Guards against a log and a memory that grow with the odd records.
    def test_each_of_very_many_records_is_named(self):
        for number in range(unreadable.MAX_NAMED * 3):
            self.note(f'servers/{number}')
        log.flush()
        named = self.read()
        assert len(named) == unreadable.MAX_NAMED + 1
        assert named[-1] == f'servers/{unreadable.MAX_NAMED} and others'
        self.clock.advance(unreadable.FORGET_MS)
        self.note('servers/late')
        log.flush()
        assert self.read()[-1] == 'servers/late'
