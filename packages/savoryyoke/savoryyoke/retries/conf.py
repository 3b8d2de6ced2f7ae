"""Hold the defaults of the retries package."""

import dataclasses

from savoryyoke.retries import exceptions

# One-way travel time that a hop takes off, as its receiver cannot see it.
HOP_ALLOWANCE_S = 0.005
SHORTEST_TRY_S = 0.01
LATENCY_BUCKETS_PER_DOUBLING = 4
SHORTEST_LATENCY_S = 0.001
LATENCY_BUCKET_COUNT = 80
LATENCY_WINDOW = 1000

# A second try begins after the time that this share of the requests stay
# under, so that second tries are as many as the others at most.
HEDGE_QUANTILE = 0.95
HEDGE_SHARE = 0.05
# Each entry may send one at its start.
HEDGE_BURST = 1.0
# Part of the retry limit that is kept for tries that have failed.
HEDGE_KEPT_SHARE = 0.5
# A request that takes this many times the delay of a hedge, and is overtaken
# at other targets, is taken for lost: it may draw on the retry limit.
HEDGE_LOST_TIMES = 3.0
# Two round trips to a target in another data centre and a short run.
HEDGE_SHORTEST_S = 0.03
# The quantile of 20 times is their second largest; a window of 200 is some
# ten seconds of an entry's requests of one service.
HEDGE_LEAST_TIMES = 20
HEDGE_WINDOW = 200
HEDGE_TIME_ERROR = 0.05
# Routes and sizes at one entry; a sketch takes 2 KB.
HEDGE_KEYS_LIMIT = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryPolicy:
    """Bound the repeated tries of one service.

    ``budget_share`` is repeated tries per first try, ``budget_per_s`` a
    trickle for quiet services, ``budget_burst`` the most saved up and
    ``most_tries`` the bound for each call. Idempotent calls that are
    expected to be shorter than ``hedge_below_s`` are hedged after the
    latency that ``hedge_quantile`` of the tries stay under.
    """

    budget_share: float = 0.1
    budget_per_s: float = 0.1
    budget_burst: float = 10.0
    most_tries: int = 3
    hedge_quantile: float = 0.95
    hedge_below_s: float = 0.5
    hedge_least_samples: int = 100

    def __post_init__(self):
        if not 0 <= self.budget_share <= 1:
            raise exceptions.InvalidPolicy('budget_share must be in 0..1')
        if self.most_tries < 1:
            raise exceptions.InvalidPolicy('most_tries must be at least 1')
        if not 0 < self.hedge_quantile < 1:
            raise exceptions.InvalidPolicy('hedge_quantile must be in 0..1')
