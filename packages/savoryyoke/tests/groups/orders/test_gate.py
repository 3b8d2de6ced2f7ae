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
    gate.apply(events.EngineStateRead(incarnation=100), now_s=0.0)
    return gate


def _make_order(gate, *, now_s=0.0, revision=5, writer=1):
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
    """Tokens increase without a shared store."""

    def test_numbers_keep_the_order_of_tokens(self):
        generator = random.Random(0)
        order_tokens = [
            tokens.OrderToken(
                revision=generator.randrange(9),
                counter=generator.randrange(9),
                writer=generator.randrange(9),
            )
            for _ in range(200)
        ]
        by_number = sorted(order_tokens, key=lambda token: token.encode())
        self.assertEqual(sorted(order_tokens), by_number)
        for token in order_tokens:
            self.assertEqual(token, tokens.decode_number(token.encode()))
        with self.assertRaises(tokens.TokenOutOfRange):
            tokens.OrderToken(revision=0, counter=1 << 20).encode()

    def test_a_writer_with_an_old_configuration_gives_no_order(self):
        highest_token = tokens.OrderToken(revision=6, counter=1)
        token = tokens.next_token(
            highest_token=highest_token, revision=5, writer=1
        )
        self.assertIsNone(token)


class OrderGateTest(unittest.TestCase):
    """Orders are refused for each reason that can make them outdated."""

    def _assert_refused(self, gate, order, reason, now_s=0.0):
        decision = _send(gate, order, now_s)
        self.assertIsInstance(decision, decisions.OrderRefused)
        self.assertIn(reason, decision.reason)

    def test_a_fresh_order_is_forwarded_once(self):
        gate = _make_gate()
        order = _make_order(gate)
        decision = _send(gate, order)
        self.assertIsInstance(decision, decisions.ForwardOrder)
        self.assertEqual(_VALID_S, decision.deadline_s)
        self._assert_refused(gate, order, 'in progress')
        _finish(gate, order)
        self._assert_refused(gate, order, 'the same or a newer token')

    def test_the_order_of_a_writer_that_was_paused_is_refused(self):
        gate = _make_gate()
        paused = _make_order(gate, writer=9)
        newer = _make_order(gate, writer=1)
        _send(gate, newer)
        _finish(gate, newer)
        self.assertGreater(paused.token, newer.token)
        self._assert_refused(gate, paused, 'without reading the newest token')

    def test_a_late_order_is_refused(self):
        gate = _make_gate()
        self._assert_refused(
            gate, _make_order(gate), 'deadline', now_s=_VALID_S + 0.1
        )

    def test_orders_for_an_earlier_engine_or_gate_process_are_refused(self):
        gate = _make_gate()
        order = _make_order(gate)
        gate.apply(events.EngineStateUnknown(), now_s=0.0)
        self._assert_refused(gate, order, 'not been read yet')
        gate.apply(events.EngineStateRead(incarnation=101), now_s=0.0)
        self._assert_refused(gate, order, 'incarnation of the engine')
        new_gate = gates.OrderGate(
            incarnation=2, enforcement=messages.Enforcement.SLOT
        )
        new_gate.apply(events.EngineStateRead(incarnation=100), now_s=0.0)
        self._assert_refused(new_gate, order, 'earlier process')

    def test_an_outdated_configuration_is_refused(self):
        gate = _make_gate()
        order = _make_order(gate, revision=5)
        gate.apply(events.RevisionReceived(revision=6), now_s=0.0)
        self._assert_refused(gate, order, 'outdated configuration')

    def test_orders_are_refused_without_enforcement(self):
        gate = _make_gate(messages.Enforcement.NONE)
        self._assert_refused(
            gate, _make_order(gate), 'neither the engine nor the slot'
        )

    def test_a_new_gate_continues_above_the_engines_token(self):
        gate = gates.OrderGate(
            incarnation=2, enforcement=messages.Enforcement.ENGINE
        )
        last_token = tokens.OrderToken(revision=5, counter=7, writer=3)
        engine_read = events.EngineStateRead(
            incarnation=100, last_token=last_token
        )
        gate.apply(engine_read, now_s=0.0)
        self.assertGreater(_make_order(gate).token, last_token)

    def test_the_engine_is_read_after_a_lost_answer(self):
        gate = _make_gate()
        order = _make_order(gate)
        _send(gate, order)
        read_decision, ended = gate.apply(
            events.EngineStateUnknown(), now_s=0.0
        )
        self.assertIsInstance(read_decision, decisions.ReadEngine)
        self.assertIsNone(ended.succeeded)


class StaleWritersTest(unittest.TestCase):
    """Random writers read, pause and write late (seeds 0 to 19)."""

    def _run(self, seed):
        generator = random.Random(seed)
        gate = _make_gate()
        paused_orders = []
        forwarded = 0
        for step in range(300):
            now_s = step * 0.1
            if generator.random() < 0.5:
                writer = generator.randrange(8)
                order = _make_order(gate, now_s=now_s, writer=writer)
                paused_orders.append((forwarded, order))
            elif paused_orders:
                index = generator.randrange(len(paused_orders))
                forwarded_when_read, order = paused_orders.pop(index)
                decision = _send(gate, order, now_s)
                if isinstance(decision, decisions.ForwardOrder):
                    self.assertEqual(forwarded_when_read, forwarded)
                    forwarded += 1
                    _finish(gate, order)
        self.assertGreater(forwarded, 0)

    def test_each_order_was_made_after_reading_all_before_it(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self._run(seed)

    def test_the_check_fails_if_the_gate_only_compares_tokens(self):
        """Disable the check that writers have read the newest token."""
        find_refusal_reason = gates.OrderGate._find_refusal_reason

        def _find_without_check(gate, order, now_s):
            highest_token = gate.view(now_s=now_s).highest_token
            view = dataclasses.replace(order.view, highest_token=highest_token)
            order = dataclasses.replace(order, view=view)
            return find_refusal_reason(gate, order, now_s)

        with unittest.mock.patch.object(
            gates.OrderGate, '_find_refusal_reason', _find_without_check
        ):
            with self.assertRaises(AssertionError):
                for seed in range(20):
                    self._run(seed)
