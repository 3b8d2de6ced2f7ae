"""Define the decisions and the load report of a target's admission."""

import dataclasses
import enum


class RefusalReason(enum.Enum):
    """Name why a call was refused before it ran."""

    QUEUE_FULL = 'queue_full'
    TEAM_QUEUE_FULL = 'team_queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DEADLINE_PASSED = 'deadline_passed'
    DISPLACED = 'displaced'
    BACKEND_STOPPED = 'backend_stopped'
    DRAINING = 'draining'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Start:
    """Hand the call to the back end."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """Keep the call waiting; a Start or a Refuse follows."""

    call_id: str
    estimated_wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Refuse a call that did not run.

    ``retry_after_s`` is when this target expects room for it.
    """

    call_id: str
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Abort:
    """Ask the back end to stop a running call; Finished follows."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Describe a target's load for the entries.

    ``estimated_wait_s`` is the wait of a call that arrives now.
    """

    running: int
    queued: int
    concurrency_limit: int
    cold: bool
    draining: bool
    estimated_wait_s: float
