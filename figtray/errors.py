"""Exceptions of figtray."""


class FigtrayError(Exception):
    """Base of all errors; fields fill the placeholders of `msg_fmt`."""

    msg_fmt = 'An unknown error occurred.'

    def __init__(self, message=None, **fields):
        self.fields = fields
        super().__init__(message or self.msg_fmt.format(**fields))


class SettingsError(FigtrayError):
    """A settings file is missing, unreadable or invalid."""

    def __init__(self, path, problem):
        super().__init__(f'{path}: {problem}', path=path, problem=problem)


class StoreUnavailable(FigtrayError):
    """A call to the store failed and did not take effect."""

    msg_fmt = 'The store is unavailable: {detail}'


class WriteUncertain(FigtrayError):
    """A write may have taken effect, but its reply was lost."""

    msg_fmt = 'The reply to a store write was lost: {detail}'


class WriteForbidden(StoreUnavailable):
    """The store does not permit this process to write a key."""

    msg_fmt = 'The store does not allow this write: {detail}'


class LeaseLost(StoreUnavailable):
    """A store lease has ended; a write bound to it did not take effect."""

    msg_fmt = 'The store lease {lease_id} has ended.'


class VersionConflict(FigtrayError):
    """A resource does not have the version that a change expects."""

    msg_fmt = '{kind}/{name} has version {current}, not {expected}.'


class ValidationFailed(FigtrayError):
    """A field of a resource has a value that is not allowed."""

    msg_fmt = '{field}: {value!r} is not allowed; expected {allowed}.'


class ResourceNotFound(FigtrayError):
    """A resource does not exist."""

    msg_fmt = '{kind}/{name} does not exist.'


class ResourceInUse(FigtrayError):
    """A resource can't be deleted while another one refers to it."""

    msg_fmt = '{kind}/{name} is still referred to by {referrer}.'


class SecretNotRepeatable(FigtrayError):
    """A repeated request asks for the secret of a key that exists."""

    msg_fmt = (
        'Key {key} was made before, and its secret is not shown again. '
        'Withdraw it and create another one.'
    )


class StaleEpoch(FigtrayError):
    """An order was refused, as one with a later epoch had come before it."""

    msg_fmt = 'An order with a stale epoch was refused: {detail}.'


class HostListUnavailable(FigtrayError):
    """The platform's list of hosts could not be read."""

    msg_fmt = 'The host list is unavailable: {detail}'


class ListenFailed(FigtrayError):
    """A program can't listen on an address."""

    msg_fmt = 'Cannot listen on {address}: {detail}'


class CallNotSent(FigtrayError):
    """A call certainly did not reach its address.

    The field `refused` is True if the address refused the connection.
    """

    msg_fmt = 'Nothing was sent to {address}: {detail}'

    @property
    def refused(self):
        """Return whether the address refused the connection."""
        return bool(self.fields.get('refused'))


class OtherIncarnation(CallNotSent):
    """A call was not sent, as another incarnation answers at its address.

    Attributes:
        report: the fleet Report of the one that answers.
    """

    msg_fmt = (
        'Nothing was sent to {address}: another incarnation of {worker_id} '
        'answers there.'
    )

    def __init__(self, report, **fields):
        super().__init__(**fields)
        self.report = report


class ReplyLost(FigtrayError):
    """A call may have been executed, but there is no usable reply.

    The field `unchecked` is True if nothing shows which process it reached,
    and `closed` if the connection was closed at the other end.
    """

    msg_fmt = 'No reply from {address}: {detail}'

    @property
    def closed(self):
        """Return whether the process at the address may have ended."""
        return bool(self.fields.get('closed'))

    @property
    def unchecked(self):
        """Return whether another process than that meant may have got it."""
        return bool(self.fields.get('unchecked'))


class HistoryCompacted(StoreUnavailable):
    """The changes that a watch asks for have been compacted."""

    msg_fmt = 'The store no longer keeps the changes after {revision}.'


class UnreadableMessage(FigtrayError):
    """A record in the store can't be decoded or has an invalid field."""

    msg_fmt = '{what}: {detail}'


class BadChunks(FigtrayError):
    """A body in chunks can't be decoded, or is framed by too much."""

    msg_fmt = 'The chunks of the body are not valid: {detail}'


class IncarnationMismatch(FigtrayError):
    """An order reached another incarnation of a worker, which ignored it."""

    msg_fmt = (
        'The order for worker {worker_id} reached another incarnation '
        'at {address}.'
    )
