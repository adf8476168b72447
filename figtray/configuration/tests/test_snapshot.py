"""Tests of snapshots and their history."""

import msgspec

from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration.tests import faults


class TestSnapshot:
    """Guards against lost history in a copy or after many changes."""

    def test_data_round_trip(self):
        empty = snapshot_lib.Snapshot.empty(faults.DEPLOYMENT)
        _, snapshot = faults.make_changes(empty, 10)
        data = msgspec.msgpack.encode(snapshot_lib.to_data(snapshot))
        copy = snapshot_lib.from_data(
            msgspec.msgpack.decode(data, type=snapshot_lib.SnapshotData)
        )
        assert copy.mark == snapshot.mark
        assert list(copy.items) == list(snapshot.items)
        assert copy.find_change('c4') == 5
        assert copy.specs(resources.Kind.TEAM) == snapshot.specs(
            resources.Kind.TEAM
        )

    def test_history_without_ids(self):
        empty = snapshot_lib.Snapshot.empty(faults.DEPLOYMENT)
        _, snapshot = faults.make_changes(empty, 2)
        old = snapshot_lib.Snapshot(
            faults.DEPLOYMENT, snapshot.mark, {}, snapshot.history
        )
        assert old.find_change('c0') is None
        _, later = faults.make_changes(old, 1, 'd')
        assert later.find_change('d0') == 3

    def test_history_is_bounded(self):
        empty = snapshot_lib.Snapshot.empty(faults.DEPLOYMENT)
        _, snapshot = faults.make_changes(empty, 600)
        assert len(snapshot.history) == snapshot_lib.HISTORY_LENGTH
        assert len(snapshot.change_ids) == snapshot_lib.HISTORY_LENGTH
        assert snapshot.contains(empty.mark) is None
        assert snapshot.find_change('c0') is None
        assert snapshot.find_change('c599') == 600


class TestChecksum:
    """Guards against two different changes with one checksum."""

    def test_covers_every_part(self):
        empty = snapshot_lib.Snapshot.empty(faults.DEPLOYMENT)
        item = faults.team_item(empty, 'a')
        other = faults.team_item(empty, 'a', limit=2)
        base = (faults.DEPLOYMENT, empty.mark, 'c', [item])
        variants = [
            base,
            ('other', *base[1:]),
            (*base[:1], snapshot_lib.Mark(0, 'x'), *base[2:]),
            (*base[:1], snapshot_lib.Mark(1, empty.mark.checksum), *base[2:]),
            (*base[:2], 'd', [item]),
            (*base[:3], [other]),
            (*base[:3], [item, other]),
        ]
        checksums = {
            snapshot_lib.make_change(*variant).checksum for variant in variants
        }
        assert len(checksums) == len(variants)


class TestSpecData:
    """Guards against items that differ from their stored form."""

    def test_is_the_stored_form(self):
        spec = resources.Queue(pool='p', teams=('a', 'b'))
        data = snapshot_lib.spec_data(spec)
        assert data == msgspec.json.decode(msgspec.json.encode(data))
        assert resources.decode_spec(resources.Kind.QUEUE, data) == spec
