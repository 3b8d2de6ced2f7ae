"""Make the responses of a ledger to the attempts of a call."""

import dataclasses

from savoryyoke.calls import conf
from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import records
from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stamp:
    """Tell an entry the clock of one incarnation, and who answers for it.

    ``target_id`` is the sender, an heir if the process itself has left.
    """

    target_id: str
    incarnation: int
    stamp_ms: int
    window_ms: int


def is_mismatch(record, event):
    """Return whether ``event`` carries another request under the key."""
    return (
        record.fingerprint is not None
        and record.fingerprint != event.fingerprint
    )


def respond(event, outcome):
    """Return the response with ``outcome`` to the message ``event``."""
    return decisions.Respond(
        attempt_id=event.attempt_id, number=event.number, outcome=outcome
    )


def doubt(event, reason):
    """Return the decisions that answer ``event`` with 'may have run'."""
    return (respond(event, lost(reason)),)


def reject(event, reason):
    """Return the decisions that reject the request of ``event``."""
    return (respond(event, outcomes.Rejected(reason=reason)),)


def respond_all(waiters_by_attempt, outcome):
    """Return responses to attempts that waited for one call."""
    return tuple(
        decisions.Respond(
            attempt_id=attempt_id, number=waiter.number, outcome=outcome
        )
        for attempt_id, waiter in waiters_by_attempt.items()
    )


def lost(reason):
    """Return the outcome of a call that may have run."""
    return outcomes.MayHaveRun(reason=reason)


def refuse(reason, *, retry_after_s, limits):
    """Return the outcome of a sealed call."""
    return outcomes.NotRun(
        reason=reason,
        retry_after_s=max(retry_after_s, limits.retry_after_s),
        same_key_may_return=True,
        holds_for_s=limits.seal_hold_ms / conf.MILLISECONDS_PER_SECOND,
    )


def refuse_window(*, limits):
    """Return the outcome of an unknown key of a closed window."""
    return outcomes.NotRun(
        reason=outcomes.NotRunReason.WINDOW_CLOSED,
        retry_after_s=limits.retry_after_s,
        same_key_may_return=False,
    )


def repeat(record):
    """Return the outcome of a call that has ended with ``record``."""
    if record.phase is records.Phase.LOST:
        return lost(outcomes.MayHaveRunReason.APPLICATION_LOST)
    if record.answer is None:
        return outcomes.RanWithoutAnswer(status=record.status)
    return outcomes.Ran(answer=record.answer)
