"""Tests of the stored records."""

import msgspec

from figtray.jobs import model
from figtray.jobs import records

RUN = 65_537


class TestCrashes:
    # A new leader read no progress of a release that stored fewer fields, so
    # the count of crashes began anew.
    def test_crashes_of_an_earlier_release_are_lost(self):
        progress = records.decode_progress(
            msgspec.json.encode(
                {'state': 'running', 'crashes': {'0.0.0': [[RUN], 1]}}
            )
        )
        crashes = progress.crashes['0.0.0']
        assert (crashes.runs, crashes.alone) == ((RUN,), 1)
        assert (crashes.late, crashes.longest_ms) == ((), 0)

    def test_stored_crashes_lose_a_field(self):
        crashes = (
            records.NO_CRASHES.add(RUN, True).add_late(RUN + 1).note_age(700)
        )
        progress = records.decode_progress(
            records.encode(
                records.Progress(
                    records.State.RUNNING, crashes={'0.0.0': crashes}
                )
            )
        )
        assert progress.crashes == {'0.0.0': crashes}


class TestReleases:
    """Releases beside each other read one another's records."""

    JOB = {'queue': 'q', 'team': 't', 'payload': 'p', 'steps': [{'count': 2}]}

    def test_job_of_an_earlier_release_is_unreadable(self):
        job = records.decode_job(msgspec.json.encode(self.JOB))
        assert (job.queue, job.host, job.queue_policy) == ('q', '', None)

    # The fields that earlier releases read keep their names and types.
    def test_job_is_unreadable_for_an_earlier_release(self):
        earlier = msgspec.defstruct(
            'Job',
            [
                ('queue', str),
                ('team', str),
                ('payload', str),
                ('steps', tuple[model.Step, ...]),
                ('accepted_ms', int, 0),
            ],
        )
        job = model.Job(
            queue='q',
            team='t',
            payload='p',
            steps=(model.Step(2),),
            accepted_ms=7,
            host='h',
            prefix='/q/',
            queue_policy=model.QueuePolicy(3, 'pool', advice=(1, 2, 3)),
            team_policy=model.TeamPolicy(3, 2, model.Resources(1, 2, 3)),
        )
        data = records.encode(job)
        assert records.decode_job(data) == job
        read = msgspec.json.decode(data, type=earlier)
        assert (read.queue, read.team, read.accepted_ms) == ('q', 't', 7)

    def test_cancellation_is_unreadable_for_an_earlier_release(self):
        earlier = msgspec.defstruct(
            'Cancellation', [('team', str, ''), ('cancelled_ms', int, 0)]
        )
        canceller = records.Caller('t', 'q', 'h', '/q/')
        record = records.Cancellation('t', 7, (canceller,))
        data = records.encode(record)
        assert records.decode_cancellation(data) == record
        read = msgspec.json.decode(data, type=earlier)
        assert (read.team, read.cancelled_ms) == ('t', 7)
