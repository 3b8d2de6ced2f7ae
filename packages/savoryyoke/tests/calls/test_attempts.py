"""Test an attempt at the entry."""

import unittest

from savoryyoke.calls.attempts import decisions
from savoryyoke.calls.attempts import events
from savoryyoke.calls.attempts import forwarded
from savoryyoke.calls.attempts import machine
from savoryyoke.calls import conf
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import events as ledger_events
from savoryyoke.calls.ledger import responses
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes
from savoryyoke.calls import routes

LIMITS = conf.AttemptLimits(forwarded_limit=1)
KEY = keys.BoundKey(target_id='t1', incarnation=1, window=0, suffix='k')
HEIR = snapshots.Heir(target_id='t2', incarnation=2)
RAN = outcomes.Ran(answer=outcomes.Answer(status=200, body=b'paid'))
NOT_RUN = outcomes.NotRun(
    reason=outcomes.NotRunReason.REFUSED,
    retry_after_s=2.0,
    same_key_may_return=True,
    holds_for_s=1.0,
)


class AttemptTest(unittest.TestCase):
    """Check an attempt that arrived at 0 s with a deadline at 5 s."""

    def setUp(self):
        super().setUp()
        self.forwarded_answers = forwarded.ForwardedAnswers(limits=LIMITS)
        self.attempt = self.start()

    def start(self, *, may_predate_pause=False):
        attempt = machine.Attempt(
            attempt_id='a1',
            key=KEY,
            fingerprint=b'f',
            target_id='t1',
            stamp_ms=1_000,
            deadline_s=5.0,
            may_predate_pause=may_predate_pause,
            forwarded_answers=self.forwarded_answers,
            limits=LIMITS,
        )
        self.sent = attempt.apply(events.Started(), now_s=0.0)
        return attempt

    def receive(self, outcome, *, now_s, number=0):
        event = events.OutcomeReceived(number=number, outcome=outcome)
        return self.attempt.apply(event, now_s=now_s)

    def assert_delivers(self, kind, decided):
        self.assertIsInstance(decided[-1], decisions.Deliver)
        self.assertIsInstance(decided[-1].outcome, kind)
        self.assertIsNone(self.attempt.next_tick_s)

    def test_offer_has_a_stamp_from_before_an_undetected_pause(self):
        (send,) = self.sent
        self.assertEqual(750, send.message.stamp_ms)

    def test_refusal_is_delivered_only_while_its_seal_is_valid(self):
        self.assert_delivers(outcomes.NotRun, self.receive(NOT_RUN, now_s=0.9))
        self.attempt = self.start()
        (send,) = self.receive(NOT_RUN, now_s=1.0)
        self.assertIsInstance(send.message, ledger_events.SealRequested)
        decided = self.receive(NOT_RUN, now_s=1.1, number=1)
        self.assert_delivers(outcomes.NotRun, decided)

    def test_refusal_too_late_to_confirm_becomes_may_have_run(self):
        decided = self.receive(NOT_RUN, now_s=5.0)
        self.assert_delivers(outcomes.MayHaveRun, decided)

    def test_seal_is_requested_before_the_deadline(self):
        (send,) = self.attempt.apply(
            events.Ticked(), now_s=self.attempt.next_tick_s
        )
        self.assertIsInstance(send.message, ledger_events.SealRequested)
        decided = self.attempt.apply(events.Ticked(), now_s=5.0)
        self.assert_delivers(outcomes.MayHaveRun, decided)
        self.assertEqual((), self.receive(RAN, now_s=5.1))

    def test_attempt_after_a_pause_sends_stamp_zero(self):
        self.start(may_predate_pause=True)
        (send,) = self.sent
        self.assertEqual(0, send.message.stamp_ms)

    def test_disconnected_caller_causes_only_a_seal(self):
        (send,) = self.attempt.apply(events.CallerLeft(), now_s=1.0)
        self.assertIsInstance(send.message, ledger_events.SealRequested)
        self.assertIsNone(self.attempt.next_tick_s)

    def test_unreachable_target(self):
        unreachable = events.TargetUnreachable(number=0, heir=HEIR)
        (send,) = self.attempt.apply(unreachable, now_s=0.1)
        self.assertEqual('t2', send.target_id)
        unreachable = events.TargetUnreachable(number=1, heir=HEIR)
        decided = self.attempt.apply(unreachable, now_s=0.2)
        self.assert_delivers(outcomes.MayHaveRun, decided)

    def test_redirects_are_bounded(self):
        for number in range(LIMITS.redirect_limit + 1):
            decided = self.attempt.apply(
                events.Redirected(number=number, heir=HEIR), now_s=0.1
            )
        self.assert_delivers(outcomes.MayHaveRun, decided)

    def test_forwarded_answers_are_bounded(self):
        self.assert_delivers(outcomes.Ran, self.receive(RAN, now_s=1.0))
        self.assertEqual(4, self.forwarded_answers.total_bytes)
        self.forwarded_answers.add(key='other', fingerprint=b'f', outcome=RAN)
        self.assertIsNone(
            self.forwarded_answers.find(key=KEY, fingerprint=b'f')
        )
        self.assertEqual(4, self.forwarded_answers.total_bytes)


class RoutesTest(unittest.TestCase):
    """Check that the newest stamp identifies the authority."""

    def test_outdated_stamps_have_no_effect(self):
        known_routes = routes.Routes(limits=LIMITS)
        self.assertEqual('t1', known_routes.find_target(KEY))

        def apply_stamp(target_id, stamp_ms):
            known_routes.apply_stamp(
                responses.Stamp(
                    target_id=target_id,
                    incarnation=1,
                    stamp_ms=stamp_ms,
                    window_ms=100,
                )
            )

        apply_stamp('t1', 250)
        binding = known_routes.make_binding(
            service='s', target_id='t1', incarnation=1
        )
        self.assertEqual(2, binding.window)
        known_routes.apply_handover(incarnation=1, heir=HEIR, stamp_ms=300)
        apply_stamp('t1', 300)
        self.assertEqual('t2', known_routes.find_target(KEY))
        apply_stamp('t2', 301)
        known_routes.apply_handover(incarnation=1, heir=HEIR, stamp_ms=300)
        self.assertEqual(301, known_routes.find_stamp_ms(KEY))
        self.assertIsNone(
            known_routes.make_binding(
                service='s', target_id='t1', incarnation=1
            )
        )
