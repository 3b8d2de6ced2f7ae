"""Define the decisions and the load report of a target's admission."""

import dataclasses
import enum


class RefusalReason(enum.Enum):
    """List the reasons to refuse a call before it runs."""

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
    """Send the call to the back end."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """Queue the call; a Start or a Refuse follows."""

    call_id: str
    estimated_wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Refuse a call that did not run.

    ``retry_after_s`` is the number of seconds after which this target
    expects to have capacity for it, or 0.0 without an estimate.
    """

    call_id: str
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Abort:
    """Stop a running call at the back end; a Finished event follows."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Describe the load of a target for the entries.

    ``estimated_wait_s`` is the expected wait of a call that arrives now.
    """

    running: int
    queued: int
    concurrency_limit: int
    cold: bool
    draining: bool
    estimated_wait_s: float
