"""Commits of operators' changes, one at a time."""

import http
import threading

from figtray.api import edits as edits_lib
from figtray.api import problems
from figtray import errors
from figtray.events import catalogue
from figtray.events import log

# How long a change waits for earlier changes of this process when the store
# is slow.
COMMIT_LOCK_TIMEOUT_MS = 10_000


class Committer:
    """Commits changes to a registry and records when they were accepted.

    Args:
        registry: configuration.registry.Registry to change.
        tracker: propagation.PropagationTracker of the generations.
        clock: Clock to use.
    """

    def __init__(self, registry, tracker, clock):
        self._registry = registry
        self._tracker = tracker
        self._clock = clock
        self._lock = threading.Lock()

    def commit(self, change_id, edits):
        """Validate, commit and log a change.

        Args:
            change_id: id that the log and a problem show.
            edits: the edits of the change.

        Returns:
            (generation with the change, registry.Resources of the edits).

        Raises:
            ValidationFailed: an edit is not allowed whatever the current
                configuration is.
            StoreUnavailable: earlier changes of this process took longer
                than COMMIT_LOCK_TIMEOUT_MS.
            ProblemError: the change failed, or its result is unknown.
        """
        edits_lib.validate(edits)
        if not self._lock.acquire(timeout=COMMIT_LOCK_TIMEOUT_MS / 1000):
            raise errors.StoreUnavailable(
                detail='earlier changes still wait for it'
            )
        try:
            generation, items = self._registry.commit(
                lambda before: edits_lib.build_resources(before, edits)
            )
        except Exception as exc:
            problem = problems.from_error(exc)
            # Only failures of the deployment are logged; other statuses
            # reject the operator's request.
            if problem.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
                log.emit(
                    catalogue.OPERATOR_CHANGE_FAILED,
                    change_id=change_id,
                    resources=_format_names(edits),
                    outcome=problem.document['outcome'].value,
                    detail=str(exc),
                )
            problem.document['change_id'] = change_id
            problem.headers += (('Change-Id', change_id),)
            raise problem from exc
        finally:
            self._lock.release()
        self._tracker.record_accepted(generation, self._clock.now_ms())
        log.emit(
            catalogue.OPERATOR_CHANGE,
            change_id=change_id,
            generation=generation,
            resources=_format_names(items),
        )
        return generation, items


def _format_names(resources_or_edits):
    return ', '.join(
        f'{item.kind.value}/{item.name}' for item in resources_or_edits
    )
