"""Define the events of the limits package."""

import dataclasses

from savoryyoke.limits import conf
from savoryyoke.limits import decisions


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntriesListed:
    """Report the entry VMs that the platform lists."""

    entry_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsPublished:
    """Report the limits of all teams from a new configuration."""

    limits_by_team: dict[str, conf.TeamLimit]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallArrived:
    """Report a call and the number of tokens it is expected to use."""

    call_id: str
    team: str
    tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallEnded:
    """Report the end of an admitted call and its tokens, None if unknown."""

    call_id: str
    tokens: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatDue:
    """Report that a heartbeat to the other entries is due."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRequestReceived:
    """Report the loan requests of another entry."""

    entry_id: str
    rows: tuple[decisions.LoanRequestRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanGrantReceived:
    """Report the loans that another entry grants."""

    entry_id: str
    rows: tuple[decisions.LoanGrantRow, ...]
