"""Tests of forwarded requests whose owner is lost."""

from figtray import clock as clock_lib
from figtray.dispatch import tasks as tasks_lib
from figtray.entry import forwarding
from figtray.peers import heartbeat
from figtray.peers import messages
from figtray import verdict as verdict_lib


class AcceptingLink:
    """Link to an owner that accepts every request."""

    def call(self, message, timeout_ms, attempts=1):
        return messages.ForwardReply(True, 'b.1')


class TestLostOwner:
    """Guards against callers that wait for an outcome that can't come."""

    def forward(self):
        clock = clock_lib.ManualClock()
        register = heartbeat.PeerRegister(clock)
        forwarder = forwarding.Forwarder(
            {'b': AcceptingLink()}, register, clock
        )
        self.hear(register, 'b1')
        now_ms = clock.now_ms()
        req = tasks_lib.TaskRequest(
            'q', 'p', 't', 'k', b'', now_ms, now_ms + 60_000
        )
        task = tasks_lib.Task('a.1', req)
        forwarder.forward(task, 'b')
        forwarder.check()
        assert not task.done
        return clock, register, forwarder, task

    def hear(self, register, run_id):
        register.heard('b', run_id, messages.Heartbeat(None, True, 0))

    def test_restart_settles_the_request(self):
        _, register, forwarder, task = self.forward()
        self.hear(register, 'b2')
        forwarder.check()
        reason = verdict_lib.UncertainReason.OWNER_RESTARTED
        assert task.fut.result(0) == verdict_lib.MayHaveRun(reason, 'b')

    def test_silence_settles_the_request(self):
        clock, _, forwarder, task = self.forward()
        clock.advance(forwarding.OWNER_LOST_MS + 1)
        forwarder.check()
        reason = verdict_lib.UncertainReason.OWNER_UNREACHABLE
        assert task.fut.result(0) == verdict_lib.MayHaveRun(reason, 'b')
