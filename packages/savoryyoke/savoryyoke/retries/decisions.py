"""Define the decisions of the retries package."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryAgain:
    """Send the call to another target immediately.

    ``remaining_s`` is sent with the call. ``hedge`` is true if the first
    try is still running.
    """

    call_id: str
    remaining_s: float
    exclude_target_ids: tuple[str, ...]
    hedge: bool


class GiveUpReason(enum.Enum):
    """List the reasons for which a call is not tried again."""

    FINAL = 'final'
    MAY_HAVE_RUN = 'may_have_run'
    BUDGET_SPENT = 'budget_spent'
    TRIES_SPENT = 'tries_spent'
    NO_TARGET = 'no_target'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Answer the caller with a failure.

    ``not_run`` is true only if no back end received the call.
    ``retry_after_s`` is the shortest estimate that a target gave, or 0.0.
    """

    call_id: str
    reason: GiveUpReason
    not_run: bool
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelTry:
    """Cancel a try whose answer is no longer needed."""

    call_id: str
    target_id: str
