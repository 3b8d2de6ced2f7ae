"""Convert targets' answers to keyed calls and send them to callers."""

import functools

from savoryyoke.calls import outcomes
from savoryyoke_edge import problems
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_wire import messages


def build_answer(head, parts):
    """Return the outcome of a call whose answer is complete."""
    headers = tuple((item.name, item.value) for item in head.headers)
    return outcomes.Ran(
        answer=outcomes.Answer(
            status=head.status, headers=headers, body=b''.join(parts)
        )
    )


def read_refusal(refusal):
    """Return the outcome that a target's refusal states."""
    match refusal.outcome:
        case messages.Outcome.NOT_RUN:
            return outcomes.NotRun(
                reason=outcomes.NotRunReason(refusal.reason),
                retry_after_s=refusal.retry_after_ms / 1000,
                same_key_may_return=refusal.same_key_may_return,
                holds_for_s=refusal.holds_for_ms / 1000,
            )
        case messages.Outcome.KEY_REUSED:
            return outcomes.Rejected(
                reason=outcomes.RejectionReason(refusal.reason)
            )
        case messages.Outcome.RAN_ANSWER_GONE:
            return outcomes.RanWithoutAnswer(status=refusal.status)
    return outcomes.MayHaveRun(
        reason=outcomes.MayHaveRunReason(refusal.reason)
    )


@functools.singledispatch
async def send_outcome(outcome, caller):
    """Send an attempt's outcome to the caller; return its name."""
    raise exceptions.EntryError(f'unknown outcome {outcome}')


@send_outcome.register
async def _(outcome: outcomes.Ran, caller):
    answer = outcome.answer
    await caller.send_complete(answer.status, answer.headers, answer.body)
    return 'ran'


@send_outcome.register
async def _(outcome: outcomes.RanWithoutAnswer, caller):
    await caller.send_problem(
        problems.Problem(name='answer-gone', reason=f'status-{outcome.status}')
    )
    return 'answer-gone'


@send_outcome.register
async def _(outcome: outcomes.NotRun, caller):
    name = 'not-run'
    if outcome.reason is outcomes.NotRunReason.WINDOW_CLOSED:
        name = 'key-expired'
    await caller.send_problem(
        problems.Problem(
            name=name,
            reason=outcome.reason.value,
            retry_after_s=max(outcome.retry_after_s, conf.RETRY_AFTER_S),
            same_key_may_return=outcome.same_key_may_return,
        )
    )
    return 'not-run'


@send_outcome.register
async def _(outcome: outcomes.MayHaveRun, caller):
    await caller.send_problem(
        problems.Problem(name='may-have-run', reason=outcome.reason.value)
    )
    return 'may-have-run'


@send_outcome.register
async def _(outcome: outcomes.Rejected, caller):
    await caller.send_problem(
        problems.Problem(name='key-reused', reason=outcome.reason.value)
    )
    return 'rejected'
