"""Choose how much a new map has to gain."""

from savoryyoke.groups.balancing import conf


def choose_min_gain(policy, *, pass_s, pause_objective_s):
    """Return the share by which a map must shorten the experts' part.

    An event of a stream takes a pass of ``pass_s`` seconds, and callers accept
    pauses of ``pause_objective_s`` between events; None if that is unknown.
    The closer a pass comes to it, the more streams become late by an uneven
    map, and the less gain justifies the copies of experts.
    """
    if not pause_objective_s:
        return policy.min_gain
    pass_share = pass_s / pause_objective_s
    urgency = (pass_share - conf.RELAXED_PASS_SHARE) / (
        conf.LIMIT_PASS_SHARE - conf.RELAXED_PASS_SHARE
    )
    urgency = min(max(urgency, 0.0), 1.0)
    return policy.min_gain + urgency * (
        policy.min_gain_at_limit - policy.min_gain
    )
