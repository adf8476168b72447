import msgspec
import pytest

from figtray import errors
from figtray.settings import loader
from figtray.settings import types

COMMON = """
  deployment: 'demo', zone: 'z1',  // one zone
  entries: [
    {slot: 'entry-1', address: '127.0.0.1:7001'},
    {slot: 'entry-2', address: '127.0.0.2:7001'},
  ],
  store: {endpoints: ['127.0.0.1:2379']},
  host_list: {address: '127.0.0.1:7100'},
"""
ENTRY = """
  include: 'common.json5',
  slot: 'entry-1',
  caller_listen: '127.0.0.1:8001',
  admin_listen: '127.0.0.1:8002',
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

    def entry(self, more=''):
        path = self.write('entry.json5', '{' + ENTRY + more + '}')
        return loader.load(path, types.EntrySettings)

    def problem(self, more):
        with pytest.raises(errors.SettingsError) as caught:
            self.entry(more)
        return str(caught.value).replace(f'{self.dir}/', '')

    def test_merges_included_file(self):
        settings = self.entry('log: {level: "debug"}')
        assert settings.addresses['entry-2'] == '127.0.0.2:7001'
        assert settings.log.level == 'debug'
        assert settings.heartbeat_ms == 1000

    @pytest.mark.parametrize(
        'more, expected',
        [
            # A misspelt field must not silently leave the default.
            ('max_taks: 1', 'entry.json5:6: max_taks: unknown field'),
            (
                'store: {\n timeout_ms: 0}',
                'entry.json5:7: store.timeout_ms: 0 is not allowed; '
                'Expected `int` >= 1',
            ),
            (
                'slot: "entry-2"',
                'entry.json5:6: slot: the field occurs twice',
            ),
            (
                'max_deadline_ms: 5',
                'entry.json5:1: default_deadline_ms: 60000 is not allowed; '
                'expected at most max_deadline_ms, 5',
            ),
            (
                'entries: [{slot: "entry-9",\n address: "somewhere"}]',
                'entry.json5:3: slot: ',
            ),
            (
                'zone: @',
                "entry.json5:6: not JSON: Expected b'JSON5Value'",
            ),
            (
                'store: "x"',
                "entry.json5:6: store: 'x' is not allowed; Expected `object`",
            ),
        ],
    )
    def test_names_file_line_and_field(self, more, expected):
        assert self.problem(more).startswith(expected)

    def test_names_the_included_file(self):
        self.write('common.json5', '{' + COMMON.replace("'z1'", '1') + '}')
        assert self.problem('').startswith('common.json5:2: zone: 1 is')

    def test_refuses_a_cycle(self):
        self.write('common.json5', '{include: "entry.json5"}')
        assert 'includes itself' in self.problem('')

    def test_missing_file(self):
        with pytest.raises(errors.SettingsError, match='No such file'):
            loader.load(self.dir / 'absent', types.EntrySettings)

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

    # A file with the credential itself must be refused, and not be shown.
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


class TestRules:
    # An interval close to the lease would lose the role at one slow call.
    def test_controller_interval(self):
        settings = types.ControllerSettings(
            name='c-1',
            admin_listen='127.0.0.1:0',
            deployment='demo',
            zone='z1',
            entries=(types.EntrySlot('entry-1', '127.0.0.1:1'),),
            store=types.StoreSettings(('127.0.0.1:2',)),
            host_list=types.HostListSettings('127.0.0.1:3'),
            interval_ms=3000,
        )
        broken = [
            field
            for field, _, is_allowed, _ in loader.nested_rules(settings)
            if not is_allowed
        ]
        assert broken == ['interval_ms']
