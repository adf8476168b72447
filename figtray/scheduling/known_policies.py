"""Last known policies of queues and teams, also of those that were removed."""

from figtray.jobs import policies
from figtray.jobs import records


class KnownPolicies:
    """Policies of the last known configuration that had a queue or a team.

    They are learned from configurations, from the record of the last leader
    and from the jobs, each of which carries those of its acceptance.
    """

    def __init__(self):
        self._queues = {}
        self._teams = {}

    def learn_config(self, cfg):
        """Learn the policies of a queues.Config."""
        for name in cfg.queues:
            _learn(self._queues, name, policies.of_queue(cfg, name))
        for name in cfg.teams:
            _learn(self._teams, name, policies.of_team(cfg, name))

    def learn_record(self, last):
        """Learn the policies of a records.LastPolicies."""
        for name, found in last.queues.items():
            _learn(self._queues, name, found)
        for name, found in last.teams.items():
            _learn(self._teams, name, found)

    def learn_job(self, spec):
        """Learn the policies of a model.Job.

        Returns:
            Whether they differ from those known before.
        """
        is_queue_new = _learn(self._queues, spec.queue, spec.queue_policy)
        is_team_new = _learn(self._teams, spec.team, spec.team_policy)
        return is_queue_new or is_team_new

    def forget_others(self, queue_names, team_names):
        """Forget all queues and teams but those named."""
        for known, names in (
            (self._queues, queue_names),
            (self._teams, team_names),
        ):
            for name in known.keys() - names:
                del known[name]

    def extend(self, cfg):
        """Return a queues.Config with all known queues and teams.

        Args:
            cfg: the queues.Config, whose own queues and teams have priority.
        """
        return cfg.extended(
            [
                policies.build_queue(name, found)
                for name, found in self._queues.items()
                if name not in cfg.queues
            ],
            [
                policies.build_team(name, found)
                for name, found in self._teams.items()
                if name not in cfg.teams
            ],
        )

    def to_store(self, specs):
        """Return the records.LastPolicies that a later leader needs.

        Args:
            specs: the model.Jobs that have not ended.
        """
        last = records.LastPolicies({}, {})
        for spec in specs:
            found = self._queues.get(spec.queue)
            if found and not policies.are_same(found, spec.queue_policy):
                last.queues[spec.queue] = found
            found = self._teams.get(spec.team)
            if found and not policies.are_same(found, spec.team_policy):
                last.teams[spec.team] = found
        return last

    def is_stored(self, spec, last):
        """Return whether a later leader finds the policies of a job.

        Args:
            spec: the model.Job.
            last: the stored records.LastPolicies.
        """
        needed = self.to_store([spec])
        return all(
            policies.are_same(found, last.queues.get(name))
            for name, found in needed.queues.items()
        ) and all(
            policies.are_same(found, last.teams.get(name))
            for name, found in needed.teams.items()
        )


def _learn(known, name, found):
    """Learn a newer policy; return whether it differs from the former."""
    former = known.get(name)
    if found is None or (former and found.version < former.version):
        return False
    known[name] = found
    return not policies.are_same(former, found)
