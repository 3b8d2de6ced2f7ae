"""Build the responses of a ledger to the attempts of a call."""

import dataclasses

from savoryyoke.calls import conf
from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import records
from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stamp:
    """Report to an entry the clock of one incarnation and its authority.

    ``target_id`` is the target that decides on the keys of the incarnation:
    its own, or that of an heir.
    """

    target_id: str
    incarnation: int
    stamp_ms: int
    window_ms: int


def is_different_request(record, event):
    """Return whether the key was used for a request other than this one."""
    return (
        record.fingerprint is not None
        and record.fingerprint != event.fingerprint
    )


def respond(event, outcome):
    """Return the response with ``outcome`` to the message ``event``."""
    return decisions.Respond(
        attempt_id=event.attempt_id, number=event.number, outcome=outcome
    )


def respond_may_have_run(event, reason):
    """Return the decisions that answer ``event`` with ``MayHaveRun``."""
    return (respond(event, make_may_have_run(reason)),)


def reject(event, reason):
    """Return the decisions that reject the request of ``event``."""
    return (respond(event, outcomes.Rejected(reason=reason)),)


def respond_all(waiters_by_attempt, outcome):
    """Return the responses with ``outcome`` to all waiters of a call."""
    return tuple(
        decisions.Respond(
            attempt_id=attempt_id, number=waiter.number, outcome=outcome
        )
        for attempt_id, waiter in waiters_by_attempt.items()
    )


def make_may_have_run(reason):
    """Return the outcome of a call that may have run."""
    return outcomes.MayHaveRun(reason=reason)


def make_not_run(reason, *, retry_after_s, limits):
    """Return the outcome of a sealed call."""
    return outcomes.NotRun(
        reason=reason,
        retry_after_s=max(retry_after_s, limits.retry_after_s),
        same_key_may_return=True,
        holds_for_s=limits.seal_hold_ms / conf.MILLISECONDS_PER_SECOND,
    )


def make_window_closed(*, limits):
    """Return the outcome of a key without record in a closed window."""
    return outcomes.NotRun(
        reason=outcomes.NotRunReason.WINDOW_CLOSED,
        retry_after_s=limits.retry_after_s,
        same_key_may_return=False,
    )


def make_outcome(record):
    """Return the outcome of a call that has ended with ``record``."""
    if record.phase is records.Phase.LOST:
        return make_may_have_run(outcomes.MayHaveRunReason.APPLICATION_LOST)
    if record.answer is None:
        return outcomes.RanWithoutAnswer(status=record.status)
    return outcomes.Ran(answer=record.answer)
