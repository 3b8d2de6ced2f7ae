"""Define the decisions and message rows of the limits package."""

import dataclasses
import enum

from savoryyoke.limits import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRequestRow:
    """Request a loan; the grant repeats ``number`` to identify it."""

    team: str
    resource: conf.Resource
    rate_per_s: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanGrantRow:
    """Grant a loan for LOAN_DURATION_S from when the request was sent."""

    team: str
    resource: conf.Resource
    rate_per_s: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """Admit the call."""

    call_id: str


class LimitReason(enum.Enum):
    """List the reasons for which the limits refuse a call."""

    REQUEST_RATE = 'request_rate'
    TOKEN_RATE = 'token_rate'
    CONCURRENCY = 'concurrency'
    OTHER_ENTRY = 'other_entry'


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseByLimit:
    """Refuse a call that did not run.

    ``entry_ids`` are the team's home entries in order of preference.
    """

    call_id: str
    reason: LimitReason
    retry_after_s: float
    entry_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendLoanRequest:
    """Send loan requests to another entry."""

    entry_id: str
    rows: tuple[LoanRequestRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendLoanGrant:
    """Send the granted loans to the entry that requested them."""

    entry_id: str
    rows: tuple[LoanGrantRow, ...]
