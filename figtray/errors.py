"""All exceptions that figtray raises."""


class FigtrayError(Exception):
    """Base of all errors; the message is built from a format and fields."""

    msg_fmt = 'An unknown error occurred.'

    def __init__(self, message=None, **fields):
        self.fields = fields
        super().__init__(message or self.msg_fmt.format(**fields))


class SettingsError(FigtrayError):
    """A settings file can't be used."""

    def __init__(self, path, problem):
        super().__init__(f'{path}: {problem}', path=path, problem=problem)


class StoreUnavailable(FigtrayError):
    """The store did not answer; the operation did not take effect."""

    msg_fmt = 'The store is unavailable: {detail}'


class WriteUncertain(FigtrayError):
    """A write may have taken effect, but its reply was lost."""

    msg_fmt = 'The reply to a store write was lost: {detail}'


class WriteForbidden(StoreUnavailable):
    """The store lets only others write a key."""

    msg_fmt = 'The store does not allow this write: {detail}'


class LeaseLost(StoreUnavailable):
    """A store lease has ended; a write that needs it did not take effect."""

    msg_fmt = 'The store lease {lease_id} has ended.'


class VersionConflict(FigtrayError):
    """A resource has another version than the change expected."""

    msg_fmt = '{kind}/{name} has version {current}, not {expected}.'


class ValidationFailed(FigtrayError):
    """A resource has a field with a value that is not allowed."""

    msg_fmt = '{field}: {value!r} is not allowed; expected {allowed}.'


class ResourceNotFound(FigtrayError):
    """No such resource."""

    msg_fmt = '{kind}/{name} does not exist.'


class ResourceInUse(FigtrayError):
    """A resource can't be deleted while another one refers to it."""

    msg_fmt = '{kind}/{name} is still referred to by {referrer}.'


class SecretNotRepeatable(FigtrayError):
    """A key was made by an earlier attempt, whose reply was lost."""

    msg_fmt = (
        'Key {key} was made before, and its secret is not shown again. '
        'Withdraw it and create another one.'
    )


class StaleEpoch(FigtrayError):
    """This process lost its role or its incarnation was fenced."""

    msg_fmt = 'This incarnation was fenced: {detail}'


class HostListUnavailable(FigtrayError):
    """The host list did not answer."""

    msg_fmt = 'The host list is unavailable: {detail}'


class ListenFailed(FigtrayError):
    """A program can't listen on an address of its settings."""

    msg_fmt = 'Cannot listen on {address}: {detail}'


class CallNotSent(FigtrayError):
    """A call certainly did not reach its address.

    The field `refused` is True if nothing listens at the address.
    """

    msg_fmt = 'Nothing was sent to {address}: {detail}'

    @property
    def refused(self):
        """Whether the address refused the connection."""
        return bool(self.fields.get('refused'))


class ReplyLost(FigtrayError):
    """A call may have been executed, but there is no complete reply."""

    msg_fmt = 'No reply from {address}: {detail}'


class HistoryCompacted(StoreUnavailable):
    """The changes that a watch asks for are not kept any more."""

    msg_fmt = 'The store no longer keeps the changes after {revision}.'


class UnreadableMessage(FigtrayError):
    """A message of the platform lacks a field or has a wrong one."""

    msg_fmt = '{what}: {detail}'


class IncarnationMismatch(FigtrayError):
    """An order reached another life of a worker, which did nothing."""

    msg_fmt = 'Worker {worker_id} at {address} lives another life.'
