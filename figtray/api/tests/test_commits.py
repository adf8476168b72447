"""Tests of committing changes one at a time."""

import pytest

from figtray.api import commits
from figtray.api.tests import support
from figtray import errors


@pytest.fixture
def deployment():
    return support.Deployment()


class TestEarlierChange:
    # Otherwise changes hold all threads while the store is slow.
    def test_change_waits_without_a_limit(self, deployment, monkeypatch):
        monkeypatch.setattr(commits, 'COMMIT_LOCK_TIMEOUT_MS', 0)
        statuses = []
        txn = deployment.store.txn

        def change_meanwhile(*args, **kwargs):
            deployment.store.txn = txn
            statuses.append(deployment.put('/v1/pools/second', {})[0])
            return txn(*args, **kwargs)

        deployment.store.txn = change_meanwhile
        assert deployment.put('/v1/pools/first', {})[0] == 201
        assert statuses == [503]
        assert deployment.put('/v1/pools/second', {})[0] == 201

    # Otherwise all later changes wait and fail.
    def test_failed_change_holds_the_lock(self, deployment, monkeypatch):
        monkeypatch.setattr(commits, 'COMMIT_LOCK_TIMEOUT_MS', 0)
        txn = deployment.store.txn

        def refuse(*args, **kwargs):
            raise errors.WriteForbidden(detail='403')

        deployment.store.txn = refuse
        assert deployment.put('/v1/pools/first', {})[0] == 403
        deployment.store.txn = txn
        assert deployment.put('/v1/pools/first', {})[0] == 201
