"""Tests of the start and stop of a program."""

import json
import signal
import threading

import pytest

from figtray import errors
from figtray.events import log
from figtray import program
from figtray.settings import types

LIMIT_S = 30
# The main thread waits for the signal after this time.
MAIN_WAITS_S = 0.3

SETTINGS = """{
  deployment: 'demo', zone: 'z1', listen: '127.0.0.1:0',
  store: {address: '127.0.0.1:2379'}, credential_file: 'hash',
  log: {destination: '%s'},
}"""


class TestRun:
    @pytest.fixture(autouse=True)
    def _set_up(self, tmp_path):
        self.log = tmp_path / 'log'
        self.settings = tmp_path / 'settings.json5'
        self.settings.write_text(SETTINGS % self.log)
        handlers = {
            number: signal.getsignal(number)
            for number in (signal.SIGTERM, signal.SIGINT)
        }
        hook = threading.excepthook
        yield
        threading.excepthook = hook
        for number, handler in handlers.items():
            signal.signal(number, handler)
        log.reset()

    def run(self, *args, main=lambda settings, stop: None):
        with pytest.raises(SystemExit) as caught:
            program.run('test', types.ApiSettings, main, list(args))
        return caught.value.code

    def numbers(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line)['number'] for line in lines]

    # Guards against a version option that needs settings.
    def test_version(self, capsys):
        assert self.run('--version') == 0
        assert capsys.readouterr().out.startswith('test ')

    # Guards against a check of the settings that starts the program.
    def test_check_config_does_not_run_main(self):
        def main(settings, stop):
            raise AssertionError

        args = '--settings', str(self.settings), '--check-config'
        assert self.run(*args, main=main) == 0
        assert not self.log.exists()

    # Guards against an invalid start without status 2 or a message.
    @pytest.mark.parametrize(
        'args',
        [(), ('--settings', '/nowhere'), ('--unknown',)],
    )
    def test_invalid_usage_and_settings(self, args, capsys):
        assert self.run(*args) == 2
        assert capsys.readouterr().err

    # Guards against an error that does not name the setting.
    def test_log_file_that_cannot_be_opened(self, capsys):
        self.settings.write_text(SETTINGS % '/nowhere/log')
        assert self.run('--settings', str(self.settings)) == 2
        assert 'log.destination' in capsys.readouterr().err

    # Guards against a failure without its exit status, event and message.
    @pytest.mark.parametrize(
        'exc, status, number',
        [
            (errors.SettingsError('file', 'bad'), 2, 103),
            (errors.ListenFailed(address='a', detail='in use'), 3, 104),
            (ValueError('x'), 1, 105),
        ],
    )
    def test_exit_status_of_failure(self, exc, status, number, capsys):
        def main(settings, stop):
            raise exc

        args = '--settings', str(self.settings)
        assert self.run(*args, main=main) == status
        assert self.numbers() == [100, number, 102]
        assert capsys.readouterr().err.count('\n') == 1

    # Guards against a signal handler that deadlocks with stop.wait().
    @pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
    def test_signal_sets_stop(self, number):
        def main(settings, stop):
            signal.raise_signal(number)
            assert stop.wait(LIMIT_S)

        args = '--settings', str(self.settings)
        assert self.run(*args, main=main) == 0
        assert {100, 102} <= set(self.numbers())

    # A signal that another thread got, as after a pause, was handled only
    # once the main thread woke up, which waits for that signal.
    def test_signal_that_another_thread_gets_sets_stop(self):
        def signal_own_thread():
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)

        def main(settings, stop):
            threading.Timer(MAIN_WAITS_S, signal_own_thread).start()
            assert stop.wait(LIMIT_S)

        args = '--settings', str(self.settings)
        assert self.run(*args, main=main) == 0
