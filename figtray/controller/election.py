"""Leadership among the controllers, by a lease of the store."""

import uuid

from figtray import errors
from figtray.store import base as store_base

TTL_MS = 10_000
# Difference between this machine's clock and the store's over one lease.
MARGIN_MS = 500


class Role:
    """Right of one process to act as the active controller.

    `token` is the create_revision of the lease key. Every write compares it,
    so a process that was paused past its lease can't write.
    """

    def __init__(self, election, token, lease_id):
        self._election = election
        self.token = token
        self.lease_id = lease_id
        self.epoch = 0

    @property
    def is_valid(self):
        """True while the lease can't have ended, by the local clock."""
        return self._election.holds(self)

    def guards(self):
        """Return the Compare conditions of a write.

        Raises:
            FencedOut: the lease may have ended.
        """
        if not self.is_valid:
            raise errors.FencedOut(detail='the controller lease may be over')
        return (
            store_base.Compare(
                self._election.lease_key, 'create_revision', self.token
            ),
        )

    def take_epoch(self, at_least=0):
        """Take the next epoch by compare-and-swap.

        Args:
            at_least: an epoch that was seen elsewhere; a store that came
                back with an older state may hold a lower one.

        Returns:
            An epoch higher than `at_least` and than any taken before.

        Raises:
            FencedOut: another controller took over.
            StoreUnavailable: no epoch was taken.
            WriteUncertain: the epoch may be taken; take the next one.
        """
        self.epoch = self._election.take_epoch(self.guards(), at_least)
        return self.epoch


class Election:
    """Campaigns for the role and renews its lease."""

    def __init__(self, store, deployment, holder, clock, ttl_ms=TTL_MS):
        self._store = store
        self._holder = holder
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._role = None
        self._lease_id = 0
        self._nonce = b''
        self._renewed_ms = 0
        self._expires_ms = 0
        prefix = f'/figtray/{deployment}/controller/'
        self.lease_key = prefix + 'lease'
        self.epoch_key = prefix + 'epoch'

    def holds(self, role):
        """Tell whether a role is present and its lease can't be over."""
        return role is self._role and self._clock.now_ms() < self._expires_ms

    def step(self):
        """Renew the role or campaign for it.

        Returns:
            The Role, or None on a standby.

        Raises:
            StoreUnavailable: the store did not answer and no role is held.
            WriteUncertain: the role may be won; the next step finds out.
        """
        if self._role is not None and not self._role.is_valid:
            self._drop()
        if self._role is None:
            return self._campaign()
        if self._clock.now_ms() - self._renewed_ms >= self._ttl_ms // 3:
            self._renew()
        return self._role

    def resign(self):
        """Give up the role at once, so that a standby need not wait."""
        lease_id = self._lease_id
        self._drop()
        if lease_id:
            self._store.revoke(lease_id)

    def take_epoch(self, guards, at_least):
        """Raise the epoch; see Role.take_epoch()."""
        item = self._store.get(self.epoch_key)
        current = int(item.value) if item else 0
        revision = item.mod_revision if item else 0
        epoch = max(current, at_least) + 1
        compares = [
            store_base.Compare(self.epoch_key, 'mod_revision', revision),
            *guards,
        ]
        put = store_base.Put(self.epoch_key, str(epoch).encode())
        if not self._store.txn(compares, [put]).succeeded:
            raise errors.FencedOut(detail='another controller is active')
        return epoch

    def _drop(self):
        self._role = None
        self._lease_id = 0
        self._nonce = b''
        self._expires_ms = 0

    def _renew(self):
        sent_ms = self._clock.now_ms()
        try:
            left_ms = self._store.keep_alive(self._lease_id)
        except errors.StoreUnavailable:
            # The lease still runs; it ends by the local clock.
            return
        if left_ms <= 0:
            self._drop()
            return
        self._renewed_ms = sent_ms
        self._expires_ms = sent_ms + min(left_ms, self._ttl_ms) - MARGIN_MS

    def _campaign(self):
        item = self._store.get(self.lease_key)
        if item is not None:
            return self._adopt(item)
        sent_ms = self._clock.now_ms()
        # Nonce and expiry are set before the write, so that a campaign
        # whose reply is lost is recognised by the next step.
        self._lease_id = self._store.grant_lease(self._ttl_ms)
        self._nonce = f'{self._holder} {uuid.uuid4().hex}'.encode()
        self._renewed_ms = sent_ms
        self._expires_ms = sent_ms + self._ttl_ms - MARGIN_MS
        absent = store_base.Compare(self.lease_key, 'mod_revision', 0)
        put = store_base.Put(self.lease_key, self._nonce, self._lease_id)
        self._store.txn([absent], [put])
        item = self._store.get(self.lease_key)
        return None if item is None else self._adopt(item)

    def _adopt(self, item):
        """Take the role if the key is that of the last campaign."""
        if item.value != self._nonce:
            return None
        if self._clock.now_ms() >= self._expires_ms:
            return None
        self._role = Role(self, item.create_revision, self._lease_id)
        return self._role
