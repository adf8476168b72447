"""Tests of the operators' command line against the real application."""

import json
import pathlib

import pytest
import typer.testing

from figtray.api import client as client_lib
from figtray.api.tests import support
from figtray.cli import main


class Shell:
    """Runs commands against a deployment in this process."""

    def __init__(self, populate=True):
        self.deployment = support.Deployment(
            planner=lambda snapshot, items: {
                'moves': [item.name for item in items]
            }
        )
        if populate:
            self.deployment.populate()
        self.transport = support.WsgiTransport(self.deployment.app)
        self._runner = typer.testing.CliRunner()

    def run(self, *args, status=main.ExitStatus.OK):
        """Run a command and check its exit status."""
        client = client_lib.Client(
            self.transport, support.CREDENTIAL, self.deployment.clock
        )
        result = self._runner.invoke(main.app, args, obj=client)
        assert result.exit_code == status, result.output
        return result

    def json(self, *args):
        """Run a command with JSON output and decode it."""
        return json.loads(self.run('--output', 'json', *args).stdout)

    def generation(self):
        return self.json('status')['generation']


@pytest.fixture
def shell():
    return Shell()


@pytest.fixture
def write(tmp_path):
    def write_file(text, name='resources.json5'):
        path = tmp_path / name
        path.write_text(text)
        return str(path)

    return write_file


TWO_TEAMS = """
// Teams of the season.
{resources: [
  {kind: 'teams', name: 'farm', spec: {limit: 3}},
  {kind: 'teams', name: 'mill', spec: {limit: 20}},
  {kind: 'zones', name: 'north', spec: {region: 'plain'}},
]}
"""


class TestReading:
    """Guards against output that hides or breaks values."""

    def test_get(self, shell):
        assert shell.json('get', 'teams', 'mill')['spec']['limit'] == 10
        lines = shell.run('get', 'teams', 'mill').stdout.splitlines()
        assert [line.split() for line in lines[:3]] == [
            ['FIELD', 'VALUE'],
            ['version', '4'],
            ['limit', '10'],
        ]
        shell.run('get', 'teams', 'none', status=main.ExitStatus.REFUSED)
        shell.run('get', 'things', 'x', status=main.ExitStatus.USAGE)

    def test_list(self, shell):
        items = shell.json('list', 'pools', '--prefix', 'sp')
        assert [item['name'] for item in items] == ['spare']
        assert '127.0.0.1:9001' in shell.run('list', 'hosts').stdout

    def test_status(self, shell):
        shell.deployment.group.reachable = {'entry-1', 'entry-2'}
        shell.deployment.clock.advance(60_000)
        output = shell.run('status').stdout
        assert 'test: generation 5' in output
        assert output.splitlines()[-1].split() == ['entry-3', '-', '-']

    def test_plan(self, shell, write):
        assert shell.json('plan')['plan'] == {'moves': []}
        document = shell.json('plan', write(TWO_TEAMS))
        assert document['plan'] == {'moves': ['farm', 'mill']}
        assert shell.generation() == document['generation'] == 5


class TestReport:
    """Guards against a report command that needs a server or hides errors."""

    def test_report(self, shell, write, tmp_path):
        rows = [{'scenario': 's', 'policy': 'p', 'worst_deviation': 0.04}]
        data = {'kind': 'bench', 'bench': 'shares', 'rows': rows}
        path = write(json.dumps(data), 'rows.json')
        page = tmp_path / 'report.html'
        assert '0.04' in shell.run('report', path, '--html', str(page)).stdout
        assert 'data:image' in page.read_text()

    def test_unusable_file(self, shell, write):
        for path in (write('{}', 'empty.json'), 'missing.json'):
            shell.run('report', path, status=main.ExitStatus.USAGE)


class TestApply:
    """Guards against changes in part, in vain or over a conflict."""

    def test_diff_dry_run_apply(self, shell, write):
        path = write(TWO_TEAMS)
        before = shell.generation()
        differences = shell.json('diff', path)
        assert [(d['name'], d['version']) for d in differences] == [
            ('farm', 0),
            ('mill', 4),
        ]
        assert differences[1]['fields'] == {'limit': [10, 20]}
        assert shell.json('apply', '--dry-run', path) == differences
        assert shell.generation() == before
        shell.run('apply', path, '--watch')
        assert shell.generation() == before + 1
        assert shell.json('diff', path) == []
        assert shell.json('apply', path) == []
        assert shell.generation() == before + 1

    def test_edited_output_of_get(self, shell, write):
        document = shell.json('get', 'hosts', 'h1')
        document['spec']['wanted_pool'] = 'spare'
        path = write(json.dumps(document))
        shell.run('apply', path)
        spec = shell.json('get', 'hosts', 'h1')['spec']
        assert (spec['wanted_pool'], spec['state']) == ('spare', 'serving')
        document['spec']['wanted_pool'] = ''
        path = write(json.dumps(document))
        shell.run('apply', path, status=main.ExitStatus.CONFLICT)

    def test_directory_in_the_order_of_references(
        self, shell, write, monkeypatch
    ):
        monkeypatch.setattr(main.edits_lib, 'MAX_EDITS', 1)
        write("[{kind: 'queues', name: 'q', spec: {pool: 'p'}}]", 'a.json')
        path = write("{kind: 'pools', name: 'p', spec: {}}", 'b.json5')
        write('not read', 'notes.txt')
        changes = shell.json('apply', path.rpartition('/')[0])
        names = [change['resources'][0]['name'] for change in changes]
        assert names == ['p', 'q']

    @pytest.mark.parametrize('name', ['co-operative', 'bureau'])
    def test_examples(self, name):
        shell = Shell(populate=False)
        root = pathlib.Path(main.__file__).parents[2]
        path = str(root / 'examples' / name / 'deployment.json5')
        shell.run('apply', '--dry-run', path)
        shell.run('apply', path)
        assert shell.json('diff', path) == []
        assert shell.run('list', 'hosts').stdout.count('127.') >= 30

    @pytest.mark.parametrize(
        ('text', 'status'),
        [
            ('{', main.ExitStatus.USAGE),
            ('{}', main.ExitStatus.USAGE),
            ('[]', main.ExitStatus.USAGE),
            ("[{kind: 'x', name: 'a', spec: {}}]", main.ExitStatus.USAGE),
            (
                "[{kind: 'teams', name: 'a', spec: {limit: -1}}]",
                main.ExitStatus.REFUSED,
            ),
            (
                "[{kind: 'queues', name: 'a', spec: {pool: 'no'}}]",
                main.ExitStatus.REFUSED,
            ),
        ],
    )
    def test_bad_files(self, shell, write, text, status):
        before = shell.generation()
        result = shell.run('apply', write(text), status=status)
        assert result.stderr
        assert shell.generation() == before

    def test_missing_and_repeated(self, shell, write, tmp_path):
        missing = str(tmp_path / 'none')
        shell.run('apply', missing, status=main.ExitStatus.USAGE)
        write(TWO_TEAMS, 'a.json')
        write(TWO_TEAMS, 'b.json')
        result = shell.run(
            'apply', str(tmp_path), status=main.ExitStatus.USAGE
        )
        assert 'occurs twice' in result.stderr


class TestChanges:
    """Guards against commands that change something else."""

    def test_delete(self, shell):
        shell.run('delete', 'teams', 'mill', '--watch')
        shell.run('get', 'teams', 'mill', status=main.ExitStatus.REFUSED)
        result = shell.run(
            'delete', 'pools', 'quoting', status=main.ExitStatus.CONFLICT
        )
        assert 'hosts/h1' in result.stderr

    def test_keys(self, shell):
        made = shell.json('key', 'grant', 'mill')
        assert made['secret'].startswith(f'fk_{made["name"]}_')
        listed = shell.run('key', 'list', '--team', 'mill').stdout
        assert made['name'] in listed
        assert made['spec']['hash'] not in listed
        shell.run('key', 'withdraw', made['name'], '--watch')
        shell.run('key', 'withdraw', made['name'])
        assert shell.json('key', 'list')[0]['spec']['withdrawn'] is True
        assert shell.json('key', 'list', '--team', 'other') == []
        shell.run('key', 'grant', 'none', status=main.ExitStatus.REFUSED)

    def test_zones(self, shell):
        for command, in_service in (('out', False), ('in', True)):
            shell.run('zone', command, 'north')
            spec = shell.json('get', 'zones', 'north')['spec']
            assert spec == {'region': 'plain', 'in_service': in_service}

    def test_hosts(self, shell):
        def wanted_pool():
            return shell.json('get', 'hosts', 'h1')['spec']['wanted_pool']

        shell.run('host', 'move', 'h1', 'spare')
        assert wanted_pool() == 'spare'
        shell.run('host', 'move', 'h1', 'quoting')
        assert wanted_pool() == ''
        shell.run('host', 'drain', 'h1')
        assert wanted_pool() == 'spare'
        shell.run('host', 'move', 'h1', 'no', status=main.ExitStatus.REFUSED)
        shell.deployment.put('/v1/pools/spare-2', {'spare': True})
        shell.run('host', 'drain', 'h1', status=main.ExitStatus.USAGE)


class TestWatch:
    """Guards against success before a change is in force."""

    def test_in_time_and_too_late(self, shell):
        shell.deployment.group.reachable = {'entry-1', 'entry-2'}
        generation = shell.json('zone', 'out', 'north')['version']
        late = ('watch', str(generation), '--timeout-ms', '1000')
        result = shell.run(*late, status=main.ExitStatus.NOT_IN_FORCE)
        assert 'entry-3' in result.stderr
        status = shell.json('watch', str(generation))['status']
        assert status['in_force'] is True
        assert status['unconfirmed'] == ['entry-3']


class TestFailures:
    """Guards against a wrong exit status or a hidden outcome."""

    def test_store_down(self, shell):
        shell.deployment.store.set_down(True)
        result = shell.run(
            'zone', 'out', 'north', status=main.ExitStatus.UNAVAILABLE
        )
        assert 'outcome: not_changed' in result.stderr
        args = ('--output', 'json', 'zone', 'out', 'north')
        result = shell.run(*args, status=main.ExitStatus.UNAVAILABLE)
        assert json.loads(result.stderr)['outcome'] == 'not_changed'

    @pytest.mark.parametrize(
        'args',
        [
            ('status',),
            ('--server', 'x:1', 'status'),
            ('--server', 'x', '--credential-file', __file__, 'status'),
            ('--server', 'x:1', '--credential-file', '/none', 'status'),
            ('nothing',),
            ('watch', '0'),
        ],
    )
    def test_usage(self, args):
        env = {'FIGTRAY_SERVER': '', 'FIGTRAY_CREDENTIAL_FILE': ''}
        result = typer.testing.CliRunner().invoke(main.app, args, env=env)
        assert result.exit_code == main.ExitStatus.USAGE
        assert result.stderr

    def test_version_and_help(self):
        for args in (('--version',), ('--help',), ('key', '--help')):
            result = typer.testing.CliRunner().invoke(main.app, args)
            assert result.exit_code == 0
            assert result.stdout
