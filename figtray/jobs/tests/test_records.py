"""Tests of the stored records."""

import msgspec

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
