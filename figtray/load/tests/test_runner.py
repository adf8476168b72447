"""Tests of the load generator against a stand-in entry on 127.0.0.1."""

import dataclasses
import http.server
import json
import re
import threading

import pytest

from figtray import clock
from figtray.load import caller
from figtray.load import main
from figtray.load import results as results_lib
from figtray.load import runner
from figtray.load import schedule
from figtray.load import settings


class StandInEntry(http.server.BaseHTTPRequestHandler):
    """Answers by the name of the queue."""

    protocol_version = 'HTTP/1.1'
    wbufsize = 65536
    cancelled = set()
    last_body = b'{"token": "tk1-9-0123456789abcdef-"}'

    def do_POST(self):
        body = self.rfile.read(int(self.headers['Content-Length']))
        queue = self.path.split('/')[3]
        token = json.loads(body)['token']
        if self.headers['Authorization'] != 'Bearer secret':
            self.refuse(401, 'key-refused')
        elif self.headers['Prefer'] == 'wait=0':
            self.answer(202, b'{}', Location=f'/v1/tasks/{token}')
        elif queue == 'echo':
            self.answer(200, body)
        elif queue == 'swap':
            self.answer(200, self.last_body)
        elif queue == 'full':
            self.refuse(429, 'queue-full')
        else:
            self.close_connection = True

    def do_DELETE(self):
        self.cancelled.add(self.path.split('/')[3])
        self.answer(202, b'{}')

    def do_GET(self):
        token = re.split('[/?]', self.path)[3]
        assert token in self.cancelled
        self.refuse(409, 'cancelled')

    def refuse(self, status, name):
        document = {'type': f'urn:figtray:problem:{name}'}
        document['verdict'] = 'not_run'
        content_type = 'application/problem+json'
        self.answer(
            status, json.dumps(document).encode(), **{'Type': content_type}
        )

    def answer(self, status, body, Type='application/json', **headers):
        self.send_response(status)
        self.send_header('Content-Type', Type)
        self.send_header('Content-Length', str(len(body)))
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_args):
        pass


class StandInServer(http.server.ThreadingHTTPServer):
    """Server whose backlog holds a connection of each thread."""

    request_queue_size = 64


@pytest.fixture
def entry():
    server = StandInServer(('127.0.0.1', 0), StandInEntry)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield f'127.0.0.1:{server.server_port}'
    server.shutdown()
    thread.join()
    server.server_close()


def run(entries, queue='echo', manual=None, **changes):
    load = settings.TeamLoad('a', queue, 50.0, key='secret', **changes)
    cfg = settings.LoadSettings(
        entries=tuple(entries), teams=(load,), duration_ms=1000, threads=8
    )
    made = runner.Runner(cfg, manual or clock.ManualClock())
    data = main.to_data(cfg, made.run())
    return data, data['teams'].get('a normal')


class TestRunner:
    """Guards against requests that are lost or miscounted."""

    def test_every_request_is_answered_and_checked(self, entry):
        data, team = run([entry], keyed_part=0.3, idempotent_part=0.5)
        assert team['outcomes'] == {'answered': team['planned']}
        assert team['answered_ms']['count'] == team['planned'] > 20
        assert set(data['checks'].values()) == {0}
        assert 'secret' not in json.dumps(data)
        assert 'checks: foreign 0' in results_lib.to_text(data)

    def test_answer_of_another_request_is_found(self, entry):
        data, team = run([entry], 'swap')
        assert data['checks']['foreign'] == team['planned']

    def test_refusals_by_type_and_verdict(self, entry):
        _, team = run([entry], 'full')
        assert team['refusals'] == {'429 queue-full': team['planned']}
        assert team['verdicts'] == {'not_run': team['planned']}

    def test_cancelled_requests(self, entry):
        _, team = run([entry], cancelled_part=1.0)
        assert team['refusals'] == {'409 cancelled': team['planned']}

    def test_broken_connection_is_unknown(self, entry):
        _, team = run([entry], 'break')
        assert team['outcomes'] == {'broken': team['planned']}
        assert team['verdicts'] == {'unknown': team['planned']}

    def test_entry_without_a_listener_is_passed_over(self, entry):
        with http.server.HTTPServer(('127.0.0.1', 0), StandInEntry) as other:
            dead = f'127.0.0.1:{other.server_port}'
        data, team = run([dead, entry])
        assert team['outcomes'] == {'answered': team['planned']}
        assert 0 < data['entries_passed_over'] < team['planned']
        _, team = run([dead])
        assert team['outcomes'] == {'not_connected': team['planned']}
        assert team['verdicts'] == {'not_sent': team['planned']}

    def test_waiting_of_unsent_requests_is_reported(self, entry):
        class Late(clock.ManualClock):
            """Each wait takes five seconds too long."""

            def wait(self, event, timeout_ms):
                self.advance(5000)

        _, team = run([entry], manual=Late(), deadline_ms=4000)
        assert team['outcomes'] == {'unsent': team['planned']}
        assert team['unsent_ms']['count'] == team['planned']
        assert team['unsent_ms']['p50'] >= 4000


class TestChecks:
    """Guards against a check that finds nothing."""

    def test_second_answer_to_one_copy(self):
        results = results_lib.Results()
        load = settings.TeamLoad('a', 'q', 9.0, keyed_part=1.0)
        cfg = settings.LoadSettings(entries=('127.0.0.1:1',), teams=(load,))
        planned = next(p for p in schedule.plan(cfg) if p.is_repeat)
        answer = caller.Answer(200, {}, planned.token.encode())
        other = caller.Answer(200, {}, b'2 ' + planned.token.encode())
        results.received('a', False, planned, answer, 1)
        results.received('a', False, planned, answer, 1)
        assert results.to_data()['checks']['duplicate'] == 1
        first = dataclasses.replace(planned, is_repeat=False)
        results.received('a', False, first, other, 1)
        assert results.to_data()['checks']['unequal'] == 1


class TestMain:
    """Guards against bad settings that start a run."""

    def run_main(self, capsys, tmp_path, text, *options):
        path = tmp_path / 'load.json5'
        path.write_text(text)
        with pytest.raises(SystemExit) as exit_info:
            main.main(['--settings', str(path), *options])
        return exit_info.value.code, capsys.readouterr()

    def test_bad_settings_end_with_status_2(self, capsys, tmp_path):
        text = "{entries: ['localhost:1'], teams: [{team: 'a', queue: 'q',"
        text += ' rate_per_s: 1}]}'
        status, captured = self.run_main(capsys, tmp_path, text)
        assert status == 2
        assert 'localhost:1' in captured.err

    def test_run_writes_results(self, capsys, tmp_path, entry):
        text = f'{{entries: ["{entry}"], cycle_ms: 0, // one team\n'
        text += 'teams: [{team: "a", queue: "echo", rate_per_s: 1000, '
        text += 'key: "secret", work_ms: 1}], duration_ms: 50}'
        output = tmp_path / 'out.json'
        status, captured = self.run_main(
            capsys, tmp_path, text, '--output', str(output)
        )
        assert status == 0, captured
        data = json.loads(output.read_text())
        assert data['kind'] == 'load'
        assert data['checks']['foreign'] == 0
