"""Defaults of the balancing of experts."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class BalancePolicy:
    """Say when a new map pays.

    A change is proposed when it shortens the experts' part of a pass by
    ``least_gain`` (a share) and passes last ``least_pass_s`` at least: on
    shorter ones callers gain nothing, and copies slow passes down. Each
    expert that is copied must lower the highest load of its set by
    ``relief_per_copy`` times the mean load.
    """

    least_gain: float = 0.3
    least_pass_s: float = 0.03
    relief_per_copy: float = 0.08


# Maps of former versions are kept for a change of the leader.
MAPS_KEPT = 4

# On the users' days demand shifts every three to four seconds. Within a
# shift, the demand of 0.3 s is 0.05 to 0.2 away from that before it (total
# variation distance); across a shift it is 0.35 to 0.5 away.
RECENT_S = 0.3
SHIFT_DISTANCE = 0.3
SETTLED_HALF_LIFE_S = 4.0

# Fewer tokens than this say little about 72 experts.
LEAST_CHOICES = 2000

# Ranks that are tried as helpers of the most loaded one. With 63 ranks this
# takes 27 ms a set in place of 45, and maps are as even (1.19 in the mean of
# 12 played shifts); groups of up to 24 ranks are tried whole.
HELPERS_LIMIT = 24

# Bounds the changes to one set of a plan: 12 ranks need at most 36, and 63
# ranks some 50.
CHANGES_LIMIT = 80
