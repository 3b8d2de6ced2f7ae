"""Test which of two concurrent tries determines the answer."""

import types
import unittest

import anyio

from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.forwarding import ledger

from savoryyoke_gateway import hedging
from savoryyoke_gateway import requests

from tests import clocks

ANSWER = requests.Answer(status=200, headers=(), body=b'whole')
FAILURE = requests.Answer(status=500, headers=(), body=b'failed')


def build_call():
    """Return a call with the attributes that the tests need."""
    return types.SimpleNamespace(
        is_stream=False,
        route=types.SimpleNamespace(
            name='r', may_repeat=True, objective_s=0.05
        ),
        service_name='s',
        body=b'',
        answer=None,
        request=types.SimpleNamespace(request_id='1'),
        ledger=ledger.RequestLedger(may_repeat=True, attempts_limit=2),
    )


def build_placement(target_id):
    return types.SimpleNamespace(
        target=types.SimpleNamespace(target_id=target_id)
    )


class Tries:
    """Simulate tries at targets, with a script for each target."""

    def __init__(self, **scripts_by_id):
        self._scripts_by_id = scripts_by_id
        self.cancelled_ids = []

    async def run(self, call, placement, resume_after):
        target_id = placement.target.target_id
        call.ledger.apply(events.Sent(target_id=target_id))
        try:
            return await self._scripts_by_id[target_id](call, target_id)
        except anyio.get_cancelled_exc_class():
            self.cancelled_ids.append(target_id)
            raise


def answer_after(delay_s, *, close_delay_s=0.0, answer=ANSWER):
    """Return a script that answers and then takes time to close."""

    async def script(call, target_id):
        await anyio.sleep(delay_s)
        if call.answer is None or call.answer.is_failure:
            call.answer = answer
        decision = call.ledger.apply(
            events.TargetAnswered(
                target_id=target_id, is_failure=answer.is_failure
            )
        )
        await anyio.sleep(close_delay_s)
        return decision

    return script


def break_after(delay_s):
    async def script(call, target_id):
        await anyio.sleep(delay_s)
        return call.ledger.apply(
            events.TryBroken(target_id=target_id, reason='reset')
        )

    return script


def refuse_after(delay_s):
    async def script(call, target_id):
        await anyio.sleep(delay_s)
        return call.ledger.apply(events.TargetRefused(target_id=target_id))

    return script


class ConcurrentTriesTests(unittest.TestCase):
    def play(self, first, second=None):
        """Return the decision, the call and the tries of two scripts."""

        async def run():
            tries = Tries(first=first, second=second)
            hedged = hedging.HedgedTries(
                tries=tries,
                place_hedge=lambda call, decision, is_lost: (
                    build_placement('second') if second else None
                ),
                clock=anyio.current_time,
            )
            call = build_call()
            decision = await hedged.run(call, build_placement('first'), None)
            return decision, call, tries

        return clocks.run_on_virtual_clock(run)

    def test_first_answer_is_used_and_the_other_try_is_cancelled(self):
        decision, call, tries = self.play(answer_after(9.0), answer_after(0.1))
        self.assertIsInstance(decision, decisions.Deliver)
        self.assertEqual(ANSWER, call.answer)
        self.assertEqual(['first'], tries.cancelled_ids)

    def test_slow_first_answer_is_used_if_no_other_target_is_free(self):
        decision, _, _ = self.play(answer_after(2.0))
        self.assertIsInstance(decision, decisions.Deliver)

    def test_failed_second_try_does_not_affect_the_first(self):
        for second in (
            break_after(0.1),
            refuse_after(0.1),
            answer_after(0.1, answer=FAILURE),
        ):
            decision, call, _ = self.play(answer_after(1.0), second)
            self.assertIsInstance(decision, decisions.Deliver)
            self.assertEqual(ANSWER, call.answer)

    def test_failure_while_the_answer_closes_its_connection(self):
        decision, call, _ = self.play(
            answer_after(0.2, close_delay_s=0.5), break_after(0.3)
        )
        self.assertIsInstance(decision, decisions.Deliver)
        self.assertEqual(ANSWER, call.answer)

    def test_both_fail(self):
        decision, _, _ = self.play(break_after(0.2), refuse_after(0.1))
        self.assertIsInstance(decision, decisions.Fail)
        decision, _, _ = self.play(refuse_after(0.2), refuse_after(0.1))
        self.assertIsInstance(decision, decisions.Refuse)
