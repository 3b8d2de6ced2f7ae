"""Define the decisions of the retries package."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryAgain:
    """Send the call to one more target, at once.

    ``remaining_s`` travels with it. A hedge runs beside the first try.
    """

    call_id: str
    remaining_s: float
    exclude_target_ids: tuple[str, ...]
    hedge: bool


class GiveUpReason(enum.Enum):
    """Name why a call is not tried again."""

    FINAL = 'final'
    MAY_HAVE_RUN = 'may_have_run'
    BUDGET_SPENT = 'budget_spent'
    TRIES_SPENT = 'tries_spent'
    NO_TARGET = 'no_target'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Answer the caller now.

    ``not_run`` is true only if no try was handed to a back end. The
    least ``retry_after_s`` that a target estimated is passed on.
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
