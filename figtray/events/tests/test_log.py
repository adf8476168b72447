"""Tests of the log output and the event catalogue."""

import json
import os
import time
import types

import logbook
import pytest

from figtray.events import base
from figtray.events import catalogue
from figtray.events import document
from figtray.events import log


class TestCatalogue:
    # Guards against two events that log tools cannot tell apart.
    def test_numbers_are_unique_and_in_a_block(self):
        numbers = [e.number for e in catalogue.by_name().values()]
        assert len(numbers) == len(set(numbers))
        assert {number // 100 * 100 for number in numbers} <= set(
            catalogue.BLOCKS
        )

    # Guards against log lines that disclose what a caller keeps private.
    def test_no_field_holds_a_secret(self):
        private = {'secret', 'key', 'body', 'payload', 'credential', 'token'}
        for event in catalogue.by_name().values():
            assert not private & set(event.fields)

    # Guards against a page of events that differs from the catalogue.
    def test_page_is_current(self):
        assert document.PAGE.read_text() == document.render()


class TestEmit:
    @pytest.fixture
    def read(self, tmp_path):
        path = tmp_path / 'log'
        log.setup('info', str(path), 'test')
        yield lambda: [json.loads(x) for x in path.read_text().splitlines()]
        log.set_strict(True)
        log.reset()

    # Guards against a line that a JSON reader of the log cannot parse.
    def test_one_json_line(self, read):
        log.emit(catalogue.STORE_BACK, prefix='op/\n', outage_ms=5)
        (record,) = read()
        assert record['number'] == 201
        assert record['name'] == 'store_back'
        assert record['program'] == 'test'
        assert record['fields'] == {'prefix': 'op/\n', 'outage_ms': 5}

    # Guards against a log level that has no effect.
    def test_lower_level_is_dropped(self, read):
        event = base.Event(1, logbook.DEBUG, 'Detail.', ('team',))
        log.emit(event, team='a')
        assert read() == []

    # Guards against wrong log calls that no test detects.
    def test_undeclared_field_raises_when_strict(self, read):
        with pytest.raises(TypeError, match='201'):
            log.emit(catalogue.STORE_BACK, secret='s')

    # Guards against a wrong log call that fails a request or discloses data.
    def test_undeclared_field_is_dropped_when_not_strict(self, read):
        log.set_strict(False)
        log.emit(catalogue.STORE_BACK, prefix='op/', secret='s')
        assert read()[0]['fields'] == {'prefix': 'op/'}

    # Guards against exception events of unlimited size or without the place.
    def test_exception(self, read):
        try:
            raise ValueError('x' * 5000)
        except ValueError as exc:
            log.emit_exception('test', exc)
        fields = read()[0]['fields']
        assert fields['error'] == 'ValueError'
        assert len(fields['detail']) == log.MAX_FIELD_LENGTH + 3
        assert 'test_log.py' in fields['traceback']


class TestRateLimit:
    # Guards against load under which the lines on requests displace those on
    # the leader and on failed dependencies.
    def test_notices_are_kept_when_request_lines_are_dropped(
        self, monkeypatch
    ):
        # The limit allows further lines as time passes.
        clock = types.SimpleNamespace(monotonic=lambda: 1.0, sleep=time.sleep)
        monkeypatch.setattr(log, 'time', clock)
        lines = []
        handler = log._BoundedHandler(os.open(os.devnull, os.O_WRONLY))
        handler.formatter = lambda record, _: lines.append(record.message)
        logger = logbook.Logger('test')
        logger.handlers = [handler]
        for _ in range(2 * log.BURST_LINES):
            logger.info('request')
        for _ in range(log.RESERVED_LINES // 2):
            logger.notice('leader')
        assert lines.count('leader') == log.RESERVED_LINES // 2
        assert lines.count('request') <= log.BURST_LINES
