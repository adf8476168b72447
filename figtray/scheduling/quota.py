"""Quota of each team over all pools."""

from figtray.jobs import model


class Quota:
    """Resources that the runs of each team need.

    A run that is being stopped counts until its end is known.
    """

    def __init__(self):
        self._used = {}

    def add(self, team, needs):
        """Count a run of a team; runs without a team are not counted."""
        if team:
            self._used[team] = self._used.get(team, model.NO_RESOURCES) + needs

    def remove(self, team, needs):
        """Stop counting a run of a team."""
        if team:
            self._used[team] = self._used.get(team, model.NO_RESOURCES) - needs

    def used(self, team):
        """Return the Resources that the runs of a team need."""
        return self._used.get(team, model.NO_RESOURCES)

    def allows(self, team, needs):
        """Return whether the limit of a team allows more runs.

        Args:
            team: the queues.Team, or None for a job without a team.
            needs: Resources of the additional runs.
        """
        if team is None:
            return True
        after = self.used(team.name) + needs
        limit = team.limit
        return not (
            (limit.cpu_milli and after.cpu_milli > limit.cpu_milli)
            or (limit.memory_mb and after.memory_mb > limit.memory_mb)
            or (limit.gpus and after.gpus > limit.gpus)
        )
