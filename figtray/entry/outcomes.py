"""Form of verdicts that cross a process boundary."""

from figtray.peers import messages
from figtray import verdict as verdict_lib


def to_message(request_id, verdict):
    """Return the messages.Outcome of a verdict."""
    match verdict:
        case verdict_lib.Answered(status, body, content_type):
            return messages.Outcome(
                request_id,
                'answered',
                status=status,
                body=body,
                content_type=content_type,
            )
        case verdict_lib.NotRun(reason, detail):
            return messages.Outcome(
                request_id, 'not_run', reason=reason.value, detail=detail
            )
        case verdict_lib.MayHaveRun(reason, detail):
            return messages.Outcome(
                request_id, 'may_have_run', reason=reason.value, detail=detail
            )


def from_message(outcome):
    """Return the verdict of a messages.Outcome.

    A reason that this version does not know is replaced by a general one
    of the same verdict.
    """
    match outcome.verdict:
        case 'answered':
            return verdict_lib.Answered(
                outcome.status, outcome.body, outcome.content_type
            )
        case 'not_run':
            return verdict_lib.NotRun(
                _reason(
                    verdict_lib.RefusalReason,
                    outcome.reason,
                    verdict_lib.RefusalReason.NO_CAPACITY,
                ),
                outcome.detail,
            )
        case _:
            return verdict_lib.MayHaveRun(
                _reason(
                    verdict_lib.UncertainReason,
                    outcome.reason,
                    verdict_lib.UncertainReason.BROKEN_ANSWER,
                ),
                outcome.detail,
            )


def _reason(reasons, value, default):
    try:
        return reasons(value)
    except ValueError:
        return default
