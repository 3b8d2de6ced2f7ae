"""Define the defaults of the retries package."""

import dataclasses

from savoryyoke.retries import exceptions

# Allowance for the one-way network delay, which the receiver cannot measure.
HOP_ALLOWANCE_S = 0.005
SHORTEST_TRY_S = 0.01
LATENCY_BUCKETS_PER_DOUBLING = 4
SHORTEST_LATENCY_S = 0.001
LATENCY_BUCKET_COUNT = 80
LATENCY_WINDOW_SAMPLES = 1000

# A second try starts after this quantile of the response times, which limits
# second tries to about HEDGE_SHARE of the requests.
HEDGE_QUANTILE = 0.95
HEDGE_SHARE = 0.05
# Each entry can send one second try right after it starts.
HEDGE_BURST_TRIES = 1.0
# Share of the retry limit that is reserved for repeats of failed tries.
FAILED_TRY_RESERVE_SHARE = 0.5
# A request counts as lost once it has waited for this many hedge delays while
# other targets answer later requests. Its second try may then exceed
# HEDGE_SHARE and use the retry limit.
LOST_AFTER_HEDGE_DELAYS = 3.0
# Two round trips to a target in another data centre plus a short run time.
SHORTEST_HEDGE_DELAY_S = 0.03
# The 0.95 quantile of 20 samples is the second largest. 200 samples are about
# ten seconds of one entry's requests for one service.
HEDGE_MIN_SAMPLES = 20
HEDGE_WINDOW_SAMPLES = 200
HEDGE_SKETCH_RELATIVE_ERROR = 0.05
# Limit on combinations of route and body size at one entry; each sketch
# takes 2 KB.
HEDGE_MAX_KEYS = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryPolicy:
    """Configure the repeated tries of one service.

    ``budget_share`` is the number of repeated tries per first try,
    ``budget_per_s`` the refill rate that lets a service with few calls
    repeat tries too, ``budget_burst`` the capacity in tries, and
    ``max_tries`` the limit on tries per call, the first one included.
    An idempotent call is hedged after the ``hedge_quantile`` of recent
    latencies, provided that this delay is below ``hedge_max_delay_s``
    and there are at least ``hedge_min_samples`` latencies.
    """

    budget_share: float = 0.1
    budget_per_s: float = 0.1
    budget_burst: float = 10.0
    max_tries: int = 3
    hedge_quantile: float = 0.95
    hedge_max_delay_s: float = 0.5
    hedge_min_samples: int = 100

    def __post_init__(self):
        if not 0 <= self.budget_share <= 1:
            raise exceptions.InvalidPolicy('budget_share must be in 0..1')
        if self.max_tries < 1:
            raise exceptions.InvalidPolicy('max_tries must be at least 1')
        if not 0 < self.hedge_quantile < 1:
            raise exceptions.InvalidPolicy('hedge_quantile must be in 0..1')
