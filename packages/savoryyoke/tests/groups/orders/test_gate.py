"""Test that no outdated order reaches an engine."""

import dataclasses
import random
import unittest
import unittest.mock

from savoryyoke.groups.orders import decisions
from savoryyoke.groups.orders import events
from savoryyoke.groups.orders import gate as gates
from savoryyoke.groups.orders import messages
from savoryyoke.groups.orders import tokens

_VALID_S = 10.0


def _make_gate(enforcement=messages.Enforcement.SLOT):
    gate = gates.OrderGate(incarnation=1, enforcement=enforcement)
    gate.apply(events.EngineSeen(incarnation=100), now_s=0.0)
    return gate


def _order(gate, *, now_s=0.0, revision=5, writer=1):
    return gates.make_order(
        content=messages.ChangeRole(role='decode'),
        view=gate.view(now_s=now_s),
        revision=revision,
        writer=writer,
        valid_s=_VALID_S,
    )


def _send(gate, order, now_s=0.0):
    event = events.OrderReceived(order=order)
    (decision,) = gate.apply(event, now_s=now_s)
    return decision


def _finish(gate, order):
    event = events.EngineAnswered(token=order.token, succeeded=True)
    gate.apply(event, now_s=0.0)


class TokenTest(unittest.TestCase):
    """Tokens rise without a store."""

    def test_numbers_keep_the_order_of_tokens(self):
        generator = random.Random(0)
        made = [
            tokens.OrderToken(
                revision=generator.randrange(9),
                counter=generator.randrange(9),
                writer=generator.randrange(9),
            )
            for _ in range(200)
        ]
        by_number = sorted(made, key=lambda token: token.encode())
        self.assertEqual(sorted(made), by_number)
        for token in made:
            self.assertEqual(token, tokens.decode_number(token.encode()))
        with self.assertRaises(tokens.NumberExhausted):
            tokens.OrderToken(revision=0, counter=1 << 20).encode()

    def test_a_writer_with_an_old_configuration_gives_no_order(self):
        seen = tokens.OrderToken(revision=6, counter=1)
        token = tokens.next_token(seen=seen, revision=5, writer=1)
        self.assertIsNone(token)


class OrderGateTest(unittest.TestCase):
    """Each way in which an order can be outdated."""

    def _assert_refused(self, gate, order, reason, now_s=0.0):
        decision = _send(gate, order, now_s)
        self.assertIsInstance(decision, decisions.OrderRefused)
        self.assertIn(reason, decision.reason)

    def test_a_fresh_order_is_forwarded_once(self):
        gate = _make_gate()
        order = _order(gate)
        decision = _send(gate, order)
        self.assertIsInstance(decision, decisions.ForwardOrder)
        self.assertEqual(_VALID_S, decision.deadline_s)
        self._assert_refused(gate, order, 'under way')
        _finish(gate, order)
        self._assert_refused(gate, order, 'a newer order')

    def test_a_writer_that_thaws_is_refused(self):
        gate = _make_gate()
        frozen = _order(gate, writer=9)
        newer = _order(gate, writer=1)
        _send(gate, newer)
        _finish(gate, newer)
        self.assertGreater(frozen.token, newer.token)
        self._assert_refused(gate, frozen, 'without knowledge')

    def test_a_late_order_is_refused(self):
        gate = _make_gate()
        self._assert_refused(
            gate, _order(gate), 'deadline', now_s=_VALID_S + 0.1
        )

    def test_orders_end_with_the_engine_and_the_process_they_were_for(self):
        gate = _make_gate()
        order = _order(gate)
        gate.apply(events.EngineUnsure(), now_s=0.0)
        self._assert_refused(gate, order, 'not read yet')
        gate.apply(events.EngineSeen(incarnation=101), now_s=0.0)
        self._assert_refused(gate, order, 'incarnation of the engine')
        following = gates.OrderGate(
            incarnation=2, enforcement=messages.Enforcement.SLOT
        )
        following.apply(events.EngineSeen(incarnation=100), now_s=0.0)
        self._assert_refused(following, order, 'earlier process')

    def test_an_outdated_configuration_is_refused(self):
        gate = _make_gate()
        order = _order(gate, revision=5)
        gate.apply(events.RevisionLearnt(revision=6), now_s=0.0)
        self._assert_refused(gate, order, 'outdated configuration')

    def test_no_order_is_given_where_nobody_checks(self):
        gate = _make_gate(messages.Enforcement.NONE)
        self._assert_refused(gate, _order(gate), 'nobody refuses')

    def test_a_replaced_gate_goes_on_above_the_engines_number(self):
        gate = gates.OrderGate(
            incarnation=2, enforcement=messages.Enforcement.ENGINE
        )
        last = tokens.OrderToken(revision=5, counter=7, writer=3)
        seen = events.EngineSeen(incarnation=100, last=last)
        gate.apply(seen, now_s=0.0)
        self.assertGreater(_order(gate).token, last)

    def test_a_lost_answer_needs_a_look_at_the_engine(self):
        gate = _make_gate()
        order = _order(gate)
        _send(gate, order)
        read, ended = gate.apply(events.EngineUnsure(), now_s=0.0)
        self.assertIsInstance(read, decisions.ReadEngine)
        self.assertIsNone(ended.succeeded)


class StaleWritersTest(unittest.TestCase):
    """Random writers that read, freeze and write late (seeds 0 to 19)."""

    def _run(self, seed):
        generator = random.Random(seed)
        gate = _make_gate()
        frozen = []
        forwarded = 0
        for step in range(300):
            now_s = step * 0.1
            if generator.random() < 0.5:
                writer = generator.randrange(8)
                order = _order(gate, now_s=now_s, writer=writer)
                frozen.append((forwarded, order))
            elif frozen:
                place = generator.randrange(len(frozen))
                known, order = frozen.pop(place)
                decision = _send(gate, order, now_s)
                if isinstance(decision, decisions.ForwardOrder):
                    self.assertEqual(known, forwarded)
                    forwarded += 1
                    _finish(gate, order)
        self.assertGreater(forwarded, 0)

    def test_each_order_knew_of_all_before_it(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self._run(seed)

    def test_comparing_tokens_alone_is_caught(self):
        """Let the gate forget what writers must have read."""
        find_fault = gates.OrderGate._find_fault

        def _find_fault(gate, order, now_s):
            highest = gate.view(now_s=now_s).highest
            view = dataclasses.replace(order.view, highest=highest)
            order = dataclasses.replace(order, view=view)
            return find_fault(gate, order, now_s)

        with unittest.mock.patch.object(
            gates.OrderGate, '_find_fault', _find_fault
        ):
            with self.assertRaises(AssertionError):
                for seed in range(20):
                    self._run(seed)
