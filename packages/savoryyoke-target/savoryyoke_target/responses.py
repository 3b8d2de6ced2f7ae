"""Send the outcome of a non-idempotent call to its entry."""

import functools

from savoryyoke.calls import outcomes
from savoryyoke_target import exceptions
from savoryyoke_wire import messages

MAX_TIME_MS = 2**32 - 1


def send_outcome(attempt, outcome):
    """Send ``outcome`` to the entry of ``attempt``."""
    _send(outcome, attempt)


def send_redirect(attempt, redirect):
    """Redirect the entry of ``attempt`` to the heir."""
    attempt.session.send(
        messages.Redirect(
            call_id=attempt.call_id,
            heir_target_id=redirect.heir.target_id,
            heir_incarnation=redirect.heir.incarnation,
            stamp_ms=redirect.stamp_ms,
        )
    )


@functools.singledispatch
def _send(outcome, attempt):
    raise exceptions.TargetError(f'unknown outcome {outcome}')


@_send.register
def _(outcome: outcomes.Ran, attempt):
    attempt.session.send_answer(
        attempt.call_id,
        status=outcome.answer.status,
        headers=outcome.answer.headers,
        body=outcome.answer.body,
        replayed=False,
    )


@_send.register
def _(outcome: outcomes.RanWithoutAnswer, attempt):
    _refuse(
        attempt,
        messages.Outcome.RAN_ANSWER_GONE,
        reason='answer-gone',
        status=outcome.status,
    )


@_send.register
def _(outcome: outcomes.NotRun, attempt):
    _refuse(
        attempt,
        messages.Outcome.NOT_RUN,
        reason=outcome.reason.value,
        retry_after_ms=_to_milliseconds(outcome.retry_after_s),
        same_key_may_return=outcome.same_key_may_return,
        holds_for_ms=_to_milliseconds(outcome.holds_for_s),
    )


@_send.register
def _(outcome: outcomes.MayHaveRun, attempt):
    _refuse(
        attempt, messages.Outcome.MAY_HAVE_RUN, reason=outcome.reason.value
    )


@_send.register
def _(outcome: outcomes.Rejected, attempt):
    _refuse(attempt, messages.Outcome.KEY_REUSED, reason=outcome.reason.value)


def _to_milliseconds(time_s):
    return int(min(time_s * 1000, MAX_TIME_MS))


def _refuse(attempt, outcome, **fields):
    attempt.session.send(
        messages.Refusal(call_id=attempt.call_id, outcome=outcome, **fields)
    )
