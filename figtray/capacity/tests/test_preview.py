"""Tests of the preview."""

import msgspec

from figtray.bench import fleet as fleet_lib
from figtray.capacity import preview
from figtray.capacity import situation as situation_lib
from figtray.configuration import resources


class TestPreview:
    """Guards against a preview that writes, or hides a broken budget."""

    def setup_method(self):
        """Create a quiet fleet."""
        self.fleet = fleet_lib.Fleet(fleet_lib.BUREAU)

    def preview(self, kind, name, **changes):
        """Preview the change of some fields."""
        snapshot = self.fleet.snapshot
        spec = msgspec.structs.replace(snapshot.spec(kind, name), **changes)
        return preview.preview(
            snapshot,
            [fleet_lib.item(kind, name, spec)],
            situation_lib.Observation(wall_s=fleet_lib.START_S),
        )

    def test_names_the_hosts_of_a_zone_and_what_remains(self):
        result = self.preview(resources.Kind.ZONE, 'dc-1', in_service=False)
        assert {move.reason for move in result.moves} == {'zone_out'}
        assert len(result.moves) == 10
        assert (result.left, result.broken) == (4, ())
        assert result.duration_ms == 5_000
        assert self.fleet.snapshot.generation == 1

    def test_names_the_budget_that_a_guarantee_would_break(self):
        result = self.preview(
            resources.Kind.POOL, 'household', min_slots=12 * fleet_lib.SLOTS
        )
        assert result.buffer_hosts == 8
        assert result.broken == (
            'pool household lacks 48 slots now',
            '4 hosts are lacking after a zone or rack is lost',
        )
        assert len(result.moves) == 6

    def test_a_move_that_has_to_wait_is_told(self):
        kind = resources.Kind.HOST
        result = self.preview(kind, 'host-000', wanted_pool='hydro')
        assert [move.host for move in result.moves] == ['host-000']

    def test_a_change_without_effect_moves_nothing(self):
        result = self.preview(resources.Kind.POOL, 'hydro', min_slots=8)
        assert (result.moves, result.duration_ms) == ((), 0)
        assert result.buffer_hosts == -3

    def test_a_failed_host_counts_against_its_pool(self):
        zone = resources.Zone(in_service=False)
        result = preview.preview(
            self.fleet.snapshot,
            [fleet_lib.item(resources.Kind.ZONE, 'dc-2', zone)],
            situation_lib.Observation(
                failed=frozenset({'host-000'}), wall_s=fleet_lib.START_S
            ),
        )
        # The pool of the failed host loses two more and gets one back.
        reasons = [move.reason for move in result.moves]
        assert (reasons.count('zone_out'), reasons.count('guarantee')) == (
            10,
            1,
        )
        assert result.left == 3
