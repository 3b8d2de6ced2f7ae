"""Defaults of the balancing of experts."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class BalancePolicy:
    """Hold the conditions under which a new map is proposed.

    A new map must shorten the experts' part of a forward pass by the share
    ``min_gain`` at least. Forward passes must last ``min_pass_s`` at least:
    for shorter ones callers gain nothing, while copying experts slows passes
    down. Each copied expert must lower the highest load of its set by
    ``min_reduction_per_copy`` times the mean demand of a rank.
    """

    min_gain: float = 0.3
    min_pass_s: float = 0.03
    min_reduction_per_copy: float = 0.08


# Number of versions of the map that each agent stores, so that they remain
# available after a change of the leader.
MAX_STORED_MAPS = 4

# Demand may shift every few seconds. The recent demand, over this time, is
# compared with the demand of the reference window before it by their total
# variation distance. A shift that goes undetected makes distances unusual for
# the reference window only, about a third of the time between shifts.
RECENT_WINDOW_S = 0.3
REFERENCE_WINDOW_S = 1.0
# A shift is a distance of this many times the largest one of the calmest half
# second, of five observations, among the latest ones. These cover more than
# the time between two shifts. Demand isn't compared while a group switches
# maps, so often there is no longer time without traces of a shift.
SHIFT_DISTANCE_RATIO = 2.0
CALM_DISTANCES = 5
USUAL_DISTANCES = 60
# A smaller shift hardly changes the load of any rank.
MIN_SHIFT_DISTANCE = 0.04
# Smallest distance of a shift until usual distances have been observed.
DEFAULT_SHIFT_DISTANCE = 0.3
# A reference of fewer choices than this many times the recent ones is too
# small a sample to tell what is usual.
SETTLED_REFERENCE_RATIO = 2.0
# Time in which earlier choices lose half of their weight.
BASELINE_HALF_LIFE_S = 4.0

# Fewer choices are too small a sample for the demand of 72 experts.
MIN_CHOICES_PER_SET = 2000

# Number of ranks that are considered as receivers of experts of the most
# loaded rank. With 63 ranks this limit shortens the search from 45 ms to 27 ms
# per set without making maps less even (a mean peak of 1.19 in 12 simulated
# shifts). Groups of up to 24 ranks are searched completely.
MAX_RECEIVERS = 24

# Upper limit of the steps of one search. 12 ranks need at most 36 steps, and
# 63 ranks about 50.
MAX_STEPS_PER_SET = 80

# Time from the moment when all ranks have copied their experts to the first
# pass with the new map.
SWITCH_S = 0.3
# Passes take this many times as long while a rank copies experts.
COPYING_SLOWDOWN = 1.15
# Time for which demand is expected to stay as it is, until shifts have been
# observed.
DEMAND_LIFE_S = 4.0
# Number of intervals between shifts that an estimate of this time uses.
OBSERVED_SHIFT_INTERVALS = 4
