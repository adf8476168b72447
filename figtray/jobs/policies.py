"""What a configuration says of the work of a queue or a team."""

import msgspec

from figtray.jobs import model
from figtray.jobs import queues


def of_queue(cfg, name):
    """Return the model.QueuePolicy of a queue, or None if there is none.

    Args:
        cfg: the queues.Config.
        name: name of the queue.
    """
    queue = cfg.queues.get(name)
    if queue is None:
        return None
    advice = queue.advice
    return model.QueuePolicy(
        version=cfg.version,
        pool=queue.pool,
        priority=queue.priority,
        attempts=queue.attempts,
        stretch=queue.stretch,
        slack_ms=queue.slack_ms,
        advice=advice and (advice.decide_ms, advice.each_ms, advice.valid_ms),
    )


def of_team(cfg, name):
    """Return the model.TeamPolicy of a team, or None if there is none."""
    team = cfg.teams.get(name)
    if team is None:
        return None
    return model.TeamPolicy(cfg.version, team.weight, team.limit)


def build_queue(name, policy):
    """Return the queues.Queue of a queue that is in no configuration.

    It has no address, so no call finds it.
    """
    return queues.Queue(
        name=name,
        host='',
        prefix='',
        pool=policy.pool,
        open=False,
        priority=policy.priority,
        attempts=policy.attempts,
        stretch=policy.stretch,
        slack_ms=policy.slack_ms,
        advice=policy.advice and queues.AdvicePolicy(*policy.advice),
    )


def build_team(name, policy):
    """Return the queues.Team of a team that is in no configuration."""
    return queues.Team(name, policy.weight, policy.limit)


def are_same(policy, other):
    """Return whether two policies differ in their versions at most."""
    # Replacing costs more than comparing, and most policies are equal.
    if policy == other or policy is None or other is None:
        return policy == other
    return msgspec.structs.replace(policy, version=other.version) == other
