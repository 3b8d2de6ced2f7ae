"""Choose when a rank becomes the leader of its group."""

from savoryyoke.groups.rollout import conf
from savoryyoke.groups.rollout import models


def choose_election_delay_s(*, rank, phase, repeat_interval_s):
    """Return the seconds without a directive after which a rank leads.

    ``phase`` is the phase of the newest directive, which its leader repeats
    every ``repeat_interval_s`` seconds. Higher ranks wait longer, so that not
    all become leaders at once. While the group may be held, all requests wait
    for the leader, and a new one is elected sooner.
    """
    if phase not in models.HOLD_PHASES:
        return (
            conf.ELECTION_TIMEOUT_S + rank * conf.ELECTION_STAGGER_PER_RANK_S
        )
    timeout_s = max(
        conf.HELD_ELECTION_TIMEOUT_S,
        conf.HELD_ELECTION_MISSED_DIRECTIVES * repeat_interval_s,
    )
    return timeout_s + rank * conf.HELD_ELECTION_STAGGER_PER_RANK_S
