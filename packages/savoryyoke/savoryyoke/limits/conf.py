"""Define the defaults of the limits package."""

import dataclasses
import enum

from savoryyoke.limits import exceptions

# The number of home entries of a team is chosen so that each gets about this
# much of the limit.
REQUESTS_PER_S_PER_HOME = 20.0
TOKENS_PER_S_PER_HOME = 10000.0
MIN_HOMES = 2
MAX_HOMES = 16
BURST_S = 1.0
LOAN_DURATION_S = 5.0
# Upper bound on how much faster a lender's clock may run than a borrower's.
CLOCK_DRIFT_SHARE = 0.01
# A former home entry admits calls until callers have fetched the new list. A
# new one starts only after even the most outdated copy of the list of VMs
# shows the change, so that the two do not overlap.
FORMER_HOME_ADMITS_S = 10.0
NEW_HOME_DELAY_S = 30.0
# Rate that a lender keeps for itself beyond its demand, as a share of its base
# rate.
LENDER_RESERVE_SHARE = 0.1
DEMAND_SMOOTHING_S = 2.0
MAX_ROWS_PER_HEARTBEAT = 50


class Resource(enum.Enum):
    """List what a limit can count."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamLimit:
    """Limit one team over all entries; None means no limit."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    max_concurrency: int | None = None

    def __post_init__(self):
        limits = (
            self.requests_per_s,
            self.tokens_per_s,
            self.max_concurrency,
        )
        if any(limit is not None and limit <= 0 for limit in limits):
            raise exceptions.InvalidTeamLimit('limits must be positive')

    @property
    def bounded(self):
        """Return whether any limit is set."""
        return self != TeamLimit()

    @property
    def rate_by_resource(self):
        """Return the limited rates per second."""
        rates = {
            Resource.REQUESTS: self.requests_per_s,
            Resource.TOKENS: self.tokens_per_s,
        }
        return {key: rate for key, rate in rates.items() if rate}
