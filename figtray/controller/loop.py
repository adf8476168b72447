"""The control loop: leadership, then each duty, over and over."""

from figtray import errors

PERIOD_MS = 1_000
MIN_BACKOFF_MS = 500
MAX_BACKOFF_MS = 15_000


class ControlLoop:
    """Runs the duties of the active controller and survives every error.

    A duty is an object with `run(role)`. The duties are run in order, and an
    error of one doesn't keep the next from running.
    """

    def __init__(self, election, duties, clock, rng, on_error, on_role=None):
        """Create the loop.

        Args:
            election: the Election.
            duties: list of duties; it may be extended later.
            clock: the Clock.
            rng: random.Random for the jitter.
            on_error: called with an ExceptionGroup after a failed iteration.
            on_role: called with the Role or None when it changes.
        """
        self._election = election
        self.duties = duties
        self._clock = clock
        self._rng = rng
        self._on_error = on_error
        self._on_role = on_role or (lambda role: None)
        self._role = None
        self._failures = 0

    @property
    def role(self):
        """The Role, or None on a standby."""
        return self._role

    def run(self, stop):
        """Iterate until a threading.Event is set, then resign."""
        while not stop.is_set():
            self._clock.wait(stop, self.run_once())
        try:
            self._election.resign()
        except errors.StoreUnavailable as exc:
            self._on_error(ExceptionGroup('controller stop', [exc]))

    def run_once(self):
        """Run one iteration.

        Returns:
            Time to wait before the next one in milliseconds.
        """
        failures = []
        self._step(failures)
        for duty in self.duties if self._role else ():
            # Renews the lease as well: a duty may take seconds.
            self._step(failures)
            if self._role is None:
                break
            try:
                duty.run(self._role)
            except Exception as exc:
                failures.append(exc)
        if not failures:
            self._failures = 0
            return PERIOD_MS
        self._on_error(ExceptionGroup('controller iteration', failures))
        self._failures += 1
        return self._backoff_ms()

    def _step(self, failures):
        role = None
        try:
            role = self._election.step()
        except Exception as exc:
            failures.append(exc)
        if role is not self._role:
            self._role = role
            self._on_role(role)

    def _backoff_ms(self):
        """Return an exponential delay with jitter.

        The lease is renewed by the iterations, so the delay of an active
        controller stays below a third of the lease.
        """
        ceiling_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**self._failures)
        if self._role is not None:
            ceiling_ms = min(ceiling_ms, 3_000)
        return round(self._rng.uniform(ceiling_ms / 2, ceiling_ms))
