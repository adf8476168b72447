import collections

import pytest

from figtray.configuration import resources
from figtray.settings import example
from figtray.settings import loader
from figtray.settings import types

TYPES = {
    'entry': types.EntrySettings,
    'api': types.ApiSettings,
    'controller': types.ControllerSettings,
}


@pytest.mark.parametrize(
    'deployment', example.DEPLOYMENTS, ids=lambda d: d.name
)
class TestExamples:
    # A stale file would start a deployment that the generator doesn't show.
    def test_files_agree_with_generator(self, deployment):
        directory = example.DIRECTORY / deployment.name
        files = {x.name: x.read_text() for x in directory.iterdir()}
        assert files == example.render(deployment)

    def test_settings_load(self, deployment):
        listens = []
        counts = collections.Counter()
        for path in (example.DIRECTORY / deployment.name).iterdir():
            kind = path.name.partition('-')[0]
            if kind not in TYPES:
                continue
            settings = loader.load(path, TYPES[kind])
            counts[kind] += 1
            listens += [
                getattr(settings, field)
                for field in ('caller_listen', 'admin_listen', 'listen')
                if hasattr(settings, field)
            ]
        assert set(counts.values()) == {len(deployment.entries())}
        listens += settings.addresses.values()
        assert len(set(listens)) == len(listens)
        assert all(listen.startswith('127.') for listen in listens)

    def test_a_majority_survives_the_loss_of_a_zone(self, deployment):
        total = sum(deployment.zones.values())
        assert total - max(deployment.zones.values()) > total // 2

    def test_resources_are_valid(self, deployment):
        path = example.DIRECTORY / deployment.name / 'deployment.json5'
        data, _ = loader.read_plain(path)
        specs = {
            (resources.Kind(kind), name): resources.decode_spec(
                resources.Kind(kind), spec
            )
            for kind, items in data.items()
            for name, spec in items.items()
        }
        for (kind, name), spec in specs.items():
            resources.check_name(kind, name)
            for _, other, target in resources.references(kind, spec):
                assert (other, target) in specs
        counts = collections.Counter(kind for kind, _ in specs)
        assert counts[resources.Kind.TEAM] == 6
        assert counts[resources.Kind.POOL] == 5

    # Two hosts of a pool in one rack would be lost together.
    def test_hosts_are_spread(self, deployment):
        hosts = deployment.hosts().values()
        racks = collections.Counter(host['rack'] for host in hosts)
        assert max(racks.values()) <= example.RACK_HOSTS
        per_rack = collections.Counter((h['rack'], h['pool']) for h in hosts)
        assert set(per_rack.values()) == {1}
        per_zone = collections.Counter((h['zone'], h['pool']) for h in hosts)
        assert set(per_zone.values()) == {2}
        addresses = [host['address'] for host in hosts]
        assert len(set(addresses)) == len(addresses)
