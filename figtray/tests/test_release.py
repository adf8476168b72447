"""Tests of the digest that names the running code."""

import hashlib
import pathlib
import subprocess
import sys

import pytest

import figtray
from figtray import release

# The name that git gives to an empty file.
EMPTY_BLOB = 'e69de29bb2d1d6434b8b29ae775ad8c2e48c5391'


class TestDigest:
    @pytest.fixture(autouse=True)
    def _set_up(self, tmp_path):
        self.package = tmp_path / 'pack'
        self.write('__init__.py', '')

    def write(self, name, text):
        path = self.package / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)

    def digest(self):
        return release.digest(str(self.package))

    # Guards against a digest that can't be computed from a commit.
    def test_digest_is_that_of_the_names_and_blobs_of_git(self):
        listing = f'{EMPTY_BLOB} pack/__init__.py\n'
        expected = hashlib.sha1(listing.encode()).hexdigest()
        assert self.digest() == expected[: release.DIGEST_LENGTH]

    # Guards against two codes with one name.
    @pytest.mark.parametrize('name', ['__init__.py', 'new.py', 'part/new.py'])
    def test_digest_changes_with_a_source(self, name):
        before = self.digest()
        self.write(name, 'x = 1\n')
        assert self.digest() != before

    # Guards against two names of one code: tests are not deployed everywhere,
    # and compiled files come and go.
    @pytest.mark.parametrize(
        'name',
        [
            'tests/test_x.py',
            'part/tests/helpers.py',
            'conftest.py',
            'part/__pycache__/x.cpython-311.pyc',
            '__pycache__/x.py',
        ],
    )
    def test_digest_does_not_change_with_other_files(self, name):
        before = self.digest()
        self.write(name, 'x = 1\n')
        assert self.digest() == before

    # Guards against a process that doesn't start as it can't read its sources.
    def test_missing_or_unreadable_sources(self):
        assert release.digest(str(self.package / 'none')) == release.UNKNOWN
        (self.package / '__init__.py').unlink()
        assert self.digest() == release.UNKNOWN
        (self.package / 'gone.py').symlink_to(self.package / 'none')
        assert self.digest() == release.UNKNOWN


class TestSourcesDigest:
    # Guards against a digest that depends on the directory of the caller.
    def test_digest_is_that_of_this_package_from_everywhere(self, tmp_path):
        package = pathlib.Path(figtray.__file__).parent
        code = 'from figtray import release; print(release.sources_digest())'
        output = subprocess.run(
            [sys.executable, '-c', code],
            cwd=tmp_path,
            env={'PYTHONPATH': str(package.parent)},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        found = output.strip()
        assert found == release.digest(str(package)) != release.UNKNOWN
