"""What each team has running over all pools, against its limit."""

from figtray.jobs import model


class Quota:
    """Running resources of each team.

    What is being stopped counts until its end is known.
    """

    def __init__(self):
        self._used = {}

    def add(self, team, needs):
        """Count a run of a team; runs of no team are not counted."""
        if team:
            self._used[team] = self._used.get(team, model.NO_RESOURCES) + needs

    def remove(self, team, needs):
        """Count a run no longer."""
        if team:
            self._used[team] = self._used.get(team, model.NO_RESOURCES) - needs

    def used(self, team):
        """Return what a team has running."""
        return self._used.get(team, model.NO_RESOURCES)

    def allows(self, team, needs):
        """Tell whether a team may run one more task.

        Args:
            team: the queues.Team, or None for work of no team.
            needs: Resources of the task.
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
