"""Tests of the checks of connections to restarted workers, over HTTP."""

import dataclasses

import pytest

from figtray import errors
from figtray.platform import standin_server
from figtray.platform.tests import test_workers


@pytest.fixture
def rig():
    rig = test_workers.Rig()
    yield rig
    rig.client.close()
    rig.server.stop()


def restart(rig):
    """Start the worker again; return the SimWorker."""
    later = rig.memory.add(dataclasses.replace(rig.worker, born_ms=2))
    rig.server.close_connections()
    return later


@pytest.fixture
def close_after(monkeypatch):
    """A list of whether each next response ends its connection."""
    closing = []
    reply = standin_server.Handler.reply

    def reply_once(handler, status, body=b'', headers=()):
        if closing and closing.pop(0):
            headers = (*headers, ('Connection', 'close'))
        reply(handler, status, body, headers)

    monkeypatch.setattr(standin_server.Handler, 'reply', reply_once)
    return closing


class TestCheckAfterAClosedConnection:
    # One response that ended its connection switched all later checks off:
    # the next order was sent to whoever listened there.
    def test_former_incarnation_closes_one_connection(self, rig, close_after):
        close_after.append(True)
        rig.start()
        later = restart(rig)
        with pytest.raises(errors.CallNotSent):
            rig.start(task='j.0.0.1')
        assert not later.starts

    # The later incarnation itself has answered, with its start time.
    def test_later_incarnation_closes_one_connection(self, rig, close_after):
        rig.start()
        later = restart(rig)
        close_after.append(True)
        for _ in range(2):
            with pytest.raises(errors.CallNotSent):
                rig.start(task='j.0.0.1')
        assert not later.starts

    # An unhealthy worker has told nothing about itself.
    def test_check_is_refused_on_a_closing_connection(self, rig, close_after):
        rig.start()
        later = restart(rig)
        close_after.append(True)
        rig.memory.choose_fault = lambda *_: 'not sent'
        with pytest.raises(errors.CallNotSent):
            rig.start(task='j.0.0.1')
        rig.memory.choose_fault = lambda *_: 'ok'
        with pytest.raises(errors.CallNotSent):
            rig.start(task='j.0.0.1')
        assert not later.starts

    # A response to an order ends the connection only.
    def test_order_closes_its_connection(self, rig, close_after):
        close_after.extend([False, True])
        rig.start()
        later = restart(rig)
        with pytest.raises(errors.OtherIncarnation):
            rig.start(task='j.0.0.1')
        assert not later.starts
