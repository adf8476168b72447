"""Tests of the loader of settings files."""

import msgspec
import pytest

from figtray import errors
from figtray.settings import loader
from figtray.settings import types

COMMON = """
  deployment: 'demo', zone: 'z1',  // one zone
  metrics: {
    max_teams: 9,
    export_interval_ms: 2000,
  },
  store: {address: '127.0.0.1:2379'},
"""
API = """
  include: 'common.json5',
  listen: '127.0.0.1:8001',
  credential_file: 'hash',

"""


class TestLoad:
    @pytest.fixture(autouse=True)
    def _files(self, tmp_path):
        self.dir = tmp_path
        self.write('common.json5', '{' + COMMON + '}')

    def write(self, name, text):
        path = self.dir / name
        path.write_text(text)
        return path

    def api(self, more=''):
        path = self.write('api.json5', '{' + API + more + '}')
        return loader.load(path, types.ApiSettings)

    def problem(self, more):
        with pytest.raises(errors.SettingsError) as caught:
            self.api(more)
        return str(caught.value).replace(f'{self.dir}/', '')

    # Guards against an include that replaces whole objects.
    def test_included_file_is_merged(self):
        settings = self.api('log: {level: "debug"}, metrics: {max_teams: 8}')
        assert settings.store.address == '127.0.0.1:2379'
        assert settings.metrics.export_interval_ms == 2000
        assert settings.metrics.max_teams == 8
        assert settings.log.level == 'debug'
        assert settings.store.timeout_ms == 2000

    # Guards against an error that does not locate the wrong field.
    @pytest.mark.parametrize(
        'more, expected',
        [
            # A misspelt field would leave the default in force.
            ('in_force: 1', 'api.json5:6: in_force: unknown field'),
            (
                'store: {\n timeout_ms: 0}',
                'api.json5:7: store.timeout_ms: 0 is not allowed; '
                'Expected `int` >= 1',
            ),
            (
                'listen: "127.0.0.1:1"',
                'api.json5:6: listen: the field occurs twice',
            ),
            (
                'credential_hash: "%s"' % ('ab' * 32),
                'api.json5:6: credential_hash: the value is not allowed; '
                'expected either credential_hash or credential_file',
            ),
            (
                'store: {timeout_ms: 5,\n address: "somewhere"}',
                "api.json5:7: store.address: 'somewhere' is not allowed; "
                'expected an IP number and port',
            ),
            (
                'zone: @',
                "api.json5:6: not JSON: Expected b'JSON5Value'",
            ),
            (
                'store: "x"',
                "api.json5:6: store: 'x' is not allowed; Expected `object`",
            ),
        ],
    )
    def test_error_names_file_line_and_field(self, more, expected):
        assert self.problem(more).startswith(expected)

    # Guards against an error that names the including file instead.
    def test_error_names_the_included_file(self):
        self.write('common.json5', '{' + COMMON.replace("'z1'", '1') + '}')
        assert self.problem('').startswith('common.json5:2: zone: 1 is')

    # Guards against an include that recurses without end.
    def test_include_cycle_is_rejected(self):
        self.write('common.json5', '{include: "api.json5"}')
        assert 'includes itself' in self.problem('')

    # Guards against a missing file that counts as empty.
    def test_missing_file(self):
        with pytest.raises(errors.SettingsError, match='No such file'):
            loader.load(self.dir / 'absent', types.ApiSettings)

    # Guards against a message that shows the credential hash.
    def test_credential_hash_is_never_shown(self):
        path = self.write(
            'api.json5',
            "{include: 'common.json5', listen: '127.0.0.1:1',"
            " credential_hash: 'not-a-hash'}",
        )
        with pytest.raises(errors.SettingsError) as caught:
            loader.load(path, types.ApiSettings)
        assert 'not-a-hash' not in str(caught.value)
        assert 'credential_hash' in str(caught.value)

    # Guards against a message that shows a credential which was stored in
    # place of its hash.
    def test_credential_file(self):
        secret = self.write('secret', 'opensesame')
        hashed = self.write('hash', 'ab' * 32 + '\n')
        path = self.write(
            'api.json5',
            "{include: 'common.json5', listen: '127.0.0.1:1',"
            f" credential_file: '{hashed}'}}",
        )
        settings = loader.load(path, types.ApiSettings)
        assert loader.read_credential_hash(settings) == 'ab' * 32
        settings = msgspec.structs.replace(
            settings, credential_file=str(secret)
        )
        with pytest.raises(errors.SettingsError) as caught:
            loader.read_credential_hash(settings)
        assert 'opensesame' not in str(caught.value)
