"""Tests of the stand-ins' command lines."""

import os
import signal
import socket
import subprocess
import sys

import pytest

import figtray
from figtray.tests import calls

LIMIT_S = 60
MODULES = ['kv', 'hosts', 'worker']


def command(name, *args):
    return [sys.executable, '-m', f'figtray.standins.{name}', *args]


def run(name, *args):
    return subprocess.run(
        command(name, *args), capture_output=True, text=True, timeout=LIMIT_S
    )


class TestCommandLine:
    """Guards against programs that hide why they did not start."""

    @pytest.mark.parametrize('name', MODULES)
    def test_options_and_bad_addresses(self, name):
        assert run(name, '--version').stdout.strip() == figtray.__version__
        assert '--listen' in run(name, '--help').stdout
        bad = run(name, '--listen', 'nowhere')
        assert bad.returncode == 2
        assert 'nowhere' in bad.stderr
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = '127.0.0.1:%d' % taken.getsockname()[1]
            assert run(name, '--listen', address).returncode == 3

    @pytest.mark.parametrize('name', MODULES)
    def test_serves_until_sigterm(self, name):
        process = subprocess.Popen(
            command(name, '--listen', '127.0.0.1:0'),
            stdout=subprocess.PIPE,
            text=True,
        )
        with process:
            address = process.stdout.readline().split()[-1]
            assert calls.get(address, '/stats')[0] == 200
            os.kill(process.pid, signal.SIGTERM)
            assert process.wait(LIMIT_S) == 0
