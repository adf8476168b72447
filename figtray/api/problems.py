"""Problem documents (RFC 9457) that the operators' API returns."""

import enum

from figtray import errors

CONTENT_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:figtray:problem:'
RETRY_AFTER_S = 1

TITLES = {
    400: 'Bad request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not found',
    405: 'Method not allowed',
    409: 'Conflict',
    411: 'Length required',
    412: 'Precondition failed',
    413: 'Content too large',
    414: 'URI too long',
    422: 'Unprocessable content',
    428: 'Precondition required',
    431: 'Header too large',
    500: 'Internal error',
    503: 'Service unavailable',
}


class Outcome(str, enum.Enum):
    """Effect on the configuration of a change that was not confirmed."""

    NOT_CHANGED = 'not_changed'
    MAY_HAVE_CHANGED = 'may_have_changed'


class ProblemError(errors.FigtrayError):
    """An error response with a problem document.

    Args:
        status: HTTP status.
        name: last component of the problem type's URN.
        detail: what is wrong with this request.
        headers: additional headers as pairs of name and value.
        members: additional members of the document.
    """

    def __init__(self, status, name, detail, headers=(), **members):
        super().__init__(detail)
        self.status = status
        self.headers = tuple(headers)
        self.document = {
            'type': TYPE_PREFIX + name,
            'title': TITLES[status],
            'status': status,
            'detail': detail,
            **members,
        }


def invalid_value(field, value, allowed):
    """Return the ProblemError for a value that is not allowed."""
    return from_error(
        errors.ValidationFailed(field=field, value=value, allowed=allowed)
    )


def from_error(exc):
    """Convert an exception to a ProblemError.

    Args:
        exc: an exception.

    Returns:
        `exc` itself if it is a ProblemError, else a new one, whose member
        `outcome` is the effect on the configuration if a change failed.
    """
    match exc:
        case ProblemError():
            return exc
        case errors.ValidationFailed():
            return _refused(422, 'validation-failed', exc, **exc.fields)
        case errors.ResourceNotFound():
            return _refused(404, 'not-found', exc)
        case errors.ResourceInUse():
            return _refused(
                409, 'resource-in-use', exc, referrer=exc.fields['referrer']
            )
        case errors.VersionConflict():
            current = exc.fields['item'] and exc.fields['item'].document()
            return _refused(412, 'version-conflict', exc, current=current)
        case errors.SecretNotRepeatable():
            return _refused(
                409, 'secret-not-repeatable', exc, key=exc.fields['key']
            )
        case errors.WriteForbidden():
            return _refused(403, 'read-only', exc)
        case errors.WriteUncertain():
            return _unavailable(
                'write-uncertain', exc, Outcome.MAY_HAVE_CHANGED
            )
        case errors.StoreUnavailable():
            return _unavailable('store-unavailable', exc, Outcome.NOT_CHANGED)
    # An unexpected error may have been raised after the write.
    return ProblemError(
        500,
        'internal-error',
        f'{type(exc).__name__}; the log has the details.',
        outcome=Outcome.MAY_HAVE_CHANGED,
    )


def _refused(status, name, exc, **members):
    """Return the ProblemError of a change that was certainly not made."""
    return ProblemError(
        status, name, str(exc), outcome=Outcome.NOT_CHANGED, **members
    )


def _unavailable(name, exc, outcome):
    return ProblemError(
        503,
        name,
        str(exc),
        headers=(('Retry-After', str(RETRY_AFTER_S)),),
        outcome=outcome,
    )
