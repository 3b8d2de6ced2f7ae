"""Hold the defaults of the limits package."""

import dataclasses
import enum

from savoryyoke.limits import exceptions

# Each home entry of a team is meant to carry this much of it.
REQUESTS_PER_S_PER_HOME = 20.0
TOKENS_PER_S_PER_HOME = 10000.0
LEAST_HOMES = 2
MOST_HOMES = 16
BURST_S = 1.0
LOAN_S = 5.0
# A lender's clock may run faster than a borrower's by this share.
CLOCK_DRIFT_SHARE = 0.01
# A displaced home goes on until callers have asked again; its successor
# starts when the laggard view of the list of VMs has seen it go.
KEEP_AFTER_DISPLACED_S = 10.0
WAIT_BEFORE_HOME_S = 30.0
# Spare rate kept back by a lender, as a share of its own part.
RESERVE_SHARE = 0.1
DEMAND_SMOOTHING_S = 2.0
ROWS_PER_HEARTBEAT = 50


class Resource(enum.Enum):
    """Name what a limit counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamLimit:
    """Bound one team over all entries; None leaves a rate unbounded."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    max_concurrency: int | None = None

    def __post_init__(self):
        bounds = (
            self.requests_per_s,
            self.tokens_per_s,
            self.max_concurrency,
        )
        if any(bound is not None and bound <= 0 for bound in bounds):
            raise exceptions.InvalidTeamLimit('limits must be positive')

    @property
    def bounded(self):
        """Tell whether anything is bounded."""
        return self != TeamLimit()

    @property
    def rate_by_resource(self):
        """Return the bounded rates per second."""
        rates = {
            Resource.REQUESTS: self.requests_per_s,
            Resource.TOKENS: self.tokens_per_s,
        }
        return {key: rate for key, rate in rates.items() if rate}
