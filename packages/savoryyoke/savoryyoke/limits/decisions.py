"""Define the decisions and message rows of the limits package."""

import dataclasses
import enum

from savoryyoke.limits import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskRow:
    """Ask to borrow a rate of one limit; ``number`` is echoed."""

    team: str
    resource: conf.Resource
    rate_per_s: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantRow:
    """Lend a rate for LOAN_S from the moment that the ask was sent."""

    team: str
    resource: conf.Resource
    rate_per_s: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """Let the call pass."""

    call_id: str


class LimitReason(enum.Enum):
    """Name which limit refused a call."""

    REQUEST_RATE = 'request_rate'
    TOKEN_RATE = 'token_rate'
    CONCURRENCY = 'concurrency'
    OTHER_ENTRY = 'other_entry'


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseByLimit:
    """Refuse a call that did not run.

    ``entry_ids`` are the entries that admit the team's calls, best first.
    """

    call_id: str
    reason: LimitReason
    retry_after_s: float
    entry_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendAsk:
    """Carry rows to an entry on the next heartbeat."""

    entry_id: str
    rows: tuple[AskRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendGrant:
    """Answer an ask."""

    entry_id: str
    rows: tuple[GrantRow, ...]
