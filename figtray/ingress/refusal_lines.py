"""Choice of the refusals that get a log line."""

INTERVAL_MS = 1000


class RefusalLines:
    """Allows one line a second for each reason."""

    def __init__(self):
        self._unlogged = {}
        self._logged_ms = {}

    def note(self, reason, now_ms):
        """Note a refusal.

        Args:
            reason: its Reason.
            now_ms: local time in milliseconds.

        Returns:
            The number of refusals that a line is to stand for, this one
            included; 0 = no line now.
        """
        count = self._unlogged.get(reason, 0) + 1
        logged_ms = self._logged_ms.get(reason)
        if logged_ms is not None and now_ms - logged_ms < INTERVAL_MS:
            self._unlogged[reason] = count
            return 0
        self._unlogged[reason] = 0
        self._logged_ms[reason] = now_ms
        return count
