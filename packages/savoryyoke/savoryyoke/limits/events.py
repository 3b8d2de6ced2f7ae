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
    """Report the limits of all teams from the configuration."""

    limits_by_team: dict[str, conf.TeamLimit]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallArrived:
    """Report a call of a team that expects to use ``tokens`` tokens."""

    call_id: str
    team: str
    tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallEnded:
    """Report the end of an admitted call and the tokens it used."""

    call_id: str
    tokens: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatDue:
    """Report that a heartbeat to the other entries is due."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskReceived:
    """Report what another entry would like to borrow."""

    entry_id: str
    rows: tuple[decisions.AskRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantReceived:
    """Report what another entry lends."""

    entry_id: str
    rows: tuple[decisions.GrantRow, ...]
