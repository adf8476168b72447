"""Interface of the platform's key-value service."""

import dataclasses

WATCH_WAIT_MS = 1000


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """One key with its value and revisions; a deletion has an empty value."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease: int = 0
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Compare:
    """Condition of a transaction: a revision of a key equals a value.

    `field` is the name of a KeyValue's revision, such as `mod_revision`. A
    value of 0 means that the key is absent.
    """

    key: str
    field: str
    value: int


@dataclasses.dataclass(frozen=True)
class Put:
    """Write of one key, bound to a lease; 0 = no lease."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class RangeResult:
    """Keys below a prefix, in key order, as of one revision."""

    items: tuple
    revision: int


@dataclasses.dataclass(frozen=True)
class TxnResult:
    """Outcome of a transaction and the store's revision after it.

    If a condition failed, `current` holds the present items of the keys in
    the conditions; absent keys are left out.
    """

    succeeded: bool
    revision: int
    current: tuple = ()


class Store:
    """Compare-and-swap, leases and watches over byte values."""

    def get(self, key, timeout_ms=None):
        """Read one key.

        Args:
            key: the key.
            timeout_ms: limit of the call in milliseconds; None = the
                client's own limit. MemoryStore ignores it.

        Returns:
            A KeyValue, or None if the key is absent.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def range(self, prefix):
        """Read all keys below a prefix.

        Args:
            prefix: common start of the keys.

        Returns:
            A RangeResult.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def pages(self, prefix):
        """Read the keys below a prefix in parts.

        The parts are no snapshot: what changed while they were read is seen
        by a watch from the revision of the first one.

        Args:
            prefix: common start of the keys.

        Yields:
            RangeResults, all with the revision of the first one.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        yield self.range(prefix)

    def txn(self, compares, puts=(), deletes=(), timeout_ms=None):
        """Write several keys atomically if all conditions hold.

        Args:
            compares: Compare conditions.
            puts: Put operations.
            deletes: keys to delete.
            timeout_ms: limit of the call in milliseconds; see get().

        Returns:
            A TxnResult.

        Raises:
            StoreUnavailable: the transaction did not take effect.
            WriteUncertain: the transaction may have taken effect.
        """
        raise NotImplementedError

    def grant_lease(self, ttl_ms):
        """Create a lease.

        Args:
            ttl_ms: time to live without renewal in milliseconds; a store
                may round it up to whole seconds.

        Returns:
            The lease id.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def keep_alive(self, lease_id):
        """Renew a lease.

        Args:
            lease_id: the lease.

        Returns:
            The remaining time to live in milliseconds; 0 if it has ended.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def revoke(self, lease_id):
        """End a lease and delete its keys.

        Args:
            lease_id: the lease; one that has already ended is ignored.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def watch(self, prefix, start_revision, stop, wait_ms=WATCH_WAIT_MS):
        """Yield the changes below a prefix as they happen.

        Args:
            prefix: common start of the keys.
            start_revision: first revision whose changes are yielded.
            stop: threading.Event that ends the watch.
            wait_ms: longest time in milliseconds between two yields.

        Yields:
            A KeyValue for each change and, at least every `wait_ms`, a None.
            The None confirms that all changes made before the watch was
            resumed after the previous None have been yielded.

        Raises:
            StoreUnavailable: the watch broke.
            HistoryCompacted: changes from start_revision on are no longer
                kept; read the prefix again before the next watch.
        """
        raise NotImplementedError

    def close(self):
        """Release all connections."""
