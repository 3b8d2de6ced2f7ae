"""Test that nothing runs twice and that refusals are true."""

import itertools
import unittest

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.forwarding import exceptions
from savoryyoke.forwarding import ledger


def build(*, may_repeat, attempts_limit=2):
    return ledger.RequestLedger(
        may_repeat=may_repeat, attempts_limit=attempts_limit
    )


def send(book, target_id='t1'):
    book.apply(events.Sent(target_id=target_id))


class NonIdempotentTests(unittest.TestCase):
    def setUp(self):
        self.book = build(may_repeat=False, attempts_limit=3)

    def test_unreachable_target_is_replaced(self):
        decision = self.book.apply(events.Unreachable(target_id='t1'))
        self.assertIsInstance(decision, decisions.TryAnother)
        self.assertFalse(decision.is_repeat)
        self.assertEqual({'t1'}, decision.tried_target_ids)

    def test_refusal_by_the_target_allows_another(self):
        send(self.book)
        decision = self.book.apply(events.TargetRefused(target_id='t1'))
        self.assertIsInstance(decision, decisions.TryAnother)
        self.assertTrue(decision.is_repeat)

    def test_broken_try_is_never_repeated(self):
        send(self.book)
        decision = self.book.apply(
            events.TryBroken(target_id='t1', reason='reset')
        )
        self.assertEqual(
            decisions.Fail(reason='reset', timed_out=False), decision
        )

    def test_failure_of_the_target_is_delivered(self):
        send(self.book)
        decision = self.book.apply(
            events.TargetAnswered(target_id='t1', is_failure=True)
        )
        self.assertIsInstance(decision, decisions.Deliver)

    def test_refused_everywhere_is_refused(self):
        send(self.book)
        self.book.apply(events.TargetRefused(target_id='t1'))
        decision = self.book.apply(events.NoOtherTarget(reason='why'))
        self.assertEqual('why', decision.reason)
        self.assertIsInstance(decision, decisions.Refuse)

    def test_timeout_in_a_try_is_no_refusal(self):
        send(self.book)
        decision = self.book.apply(events.TimeRanOut())
        self.assertIsInstance(decision, decisions.Fail)
        self.assertTrue(decision.timed_out)

    def test_timeout_after_a_refusal_is_a_refusal(self):
        send(self.book)
        self.book.apply(events.TargetRefused(target_id='t1'))
        decision = self.book.apply(events.TimeRanOut())
        self.assertIsInstance(decision, decisions.Refuse)

    def test_timeout_before_any_try_is_a_refusal(self):
        decision = self.book.apply(events.TimeRanOut())
        self.assertIsInstance(decision, decisions.Refuse)


class IdempotentTests(unittest.TestCase):
    def test_attempts_are_bounded(self):
        book = build(may_repeat=True, attempts_limit=2)
        send(book, 't1')
        first = book.apply(events.TryBroken(target_id='t1', reason='reset'))
        self.assertIsInstance(first, decisions.TryAnother)
        send(book, 't2')
        second = book.apply(events.TryBroken(target_id='t2', reason='reset'))
        self.assertIsInstance(second, decisions.Fail)

    def test_held_failure_is_delivered_when_no_other_target_helps(self):
        book = build(may_repeat=True)
        send(book)
        book.apply(events.TargetAnswered(target_id='t1', is_failure=True))
        decision = book.apply(events.NoOtherTarget())
        self.assertIsInstance(decision, decisions.Deliver)

    def test_unreachable_targets_are_bounded(self):
        book = build(may_repeat=True)
        for number in range(conf.UNREACHABLE_TRIES_LIMIT - 1):
            decision = book.apply(events.Unreachable(target_id=f't{number}'))
            self.assertIsInstance(decision, decisions.TryAnother)
        decision = book.apply(events.Unreachable(target_id='last'))
        self.assertIsInstance(decision, decisions.Refuse)


class StreamTests(unittest.TestCase):
    def start(self, *, may_repeat):
        book = build(may_repeat=may_repeat)
        send(book)
        self.assertIsInstance(
            book.apply(events.StreamStarted(target_id='t1')),
            decisions.BeginStream,
        )
        book.apply(events.StreamAdvanced(event_id='4'))
        return book

    def test_broken_stream_goes_on_after_the_last_event(self):
        book = self.start(may_repeat=True)
        decision = book.apply(events.TryBroken(target_id='t1', reason='reset'))
        self.assertIsInstance(decision, decisions.TryAnother)
        self.assertEqual('4', decision.resume_after)

    def test_head_is_sent_once(self):
        book = self.start(may_repeat=True)
        book.apply(events.TryBroken(target_id='t1', reason='reset'))
        send(book, 't2')
        self.assertIsNone(book.apply(events.StreamStarted(target_id='t2')))
        self.assertIsInstance(
            book.apply(events.StreamEnded()), decisions.FinishStream
        )

    def test_stream_that_may_not_be_resumed_is_broken_off(self):
        book = self.start(may_repeat=False)
        decision = book.apply(events.TryBroken(target_id='t1', reason='reset'))
        self.assertEqual(decisions.BreakOff(reason='reset'), decision)

    def test_stream_that_finds_no_other_target_is_broken_off(self):
        book = self.start(may_repeat=True)
        book.apply(events.TryBroken(target_id='t1', reason='reset'))
        self.assertIsInstance(
            book.apply(events.NoOtherTarget()), decisions.BreakOff
        )

    def test_stream_moves_from_a_slow_target(self):
        book = self.start(may_repeat=True)
        decision = book.apply(events.TargetSlow())
        self.assertEqual('4', decision.resume_after)
        self.assertEqual({'t1'}, decision.tried_target_ids)

    def test_stream_stays_when_its_attempts_are_used_up(self):
        book = self.start(may_repeat=True)
        send(book, 't2')
        self.assertIsNone(book.apply(events.TargetSlow()))

    def test_stream_that_may_not_be_resumed_stays(self):
        book = self.start(may_repeat=False)
        self.assertIsNone(book.apply(events.TargetSlow()))

    def test_timeout_breaks_a_stream_off(self):
        book = self.start(may_repeat=True)
        self.assertIsInstance(
            book.apply(events.TimeRanOut()), decisions.BreakOff
        )


class EveryCourseTests(unittest.TestCase):
    """Play all courses of up to four tries of a request.

    The targets keep their own account of what ran.
    """

    ENDINGS = ('unreachable', 'refused', 'broken-ran', 'broken-not-run')

    def play(self, endings, *, may_repeat):
        """Return how often the request ran and the final decision."""
        book = build(may_repeat=may_repeat, attempts_limit=3)
        runs = 0
        for number, ending in enumerate(endings):
            target_id = f't{number}'
            if ending == 'unreachable':
                decision = book.apply(events.Unreachable(target_id=target_id))
            else:
                send(book, target_id)
                runs += ending == 'broken-ran'
                decision = book.apply(self.end(ending, target_id))
            if not isinstance(decision, decisions.TryAnother):
                return runs, decision
        return runs, book.apply(events.NoOtherTarget())

    def end(self, ending, target_id):
        if ending == 'refused':
            return events.TargetRefused(target_id=target_id)
        return events.TryBroken(target_id=target_id, reason='reset')

    def courses(self):
        return itertools.product(self.ENDINGS, repeat=4)

    def test_non_idempotent_requests_run_at_most_once(self):
        for endings in self.courses():
            runs, _ = self.play(endings, may_repeat=False)
            self.assertLessEqual(runs, 1, endings)

    def test_refused_requests_have_not_run(self):
        for endings in self.courses():
            for may_repeat in (False, True):
                runs, decision = self.play(endings, may_repeat=may_repeat)
                if isinstance(decision, decisions.Refuse):
                    self.assertEqual(0, runs, endings)

    def test_the_check_finds_a_ledger_that_repeats_too_much(self):
        class Careless(ledger.RequestLedger):
            @property
            def _may_repeat(self):
                return True

            @_may_repeat.setter
            def _may_repeat(self, value):
                pass

        original = ledger.RequestLedger
        ledger.RequestLedger = Careless
        try:
            most = max(
                self.play(x, may_repeat=False)[0] for x in self.courses()
            )
        finally:
            ledger.RequestLedger = original
        self.assertGreater(most, 1)


class TwoOpenTriesTests(unittest.TestCase):
    def setUp(self):
        self.book = build(may_repeat=True)
        send(self.book, 't1')

    def test_second_try_needs_a_first_that_was_sent(self):
        self.assertFalse(build(may_repeat=True).may_hedge)
        self.assertTrue(self.book.may_hedge)
        send(self.book, 't2')
        self.assertFalse(self.book.may_hedge)
        self.assertFalse(build(may_repeat=False).may_hedge)

    def test_refusal_of_one_proves_nothing_of_the_other(self):
        send(self.book, 't2')
        self.book.apply(events.TargetRefused(target_id='t2'))
        decision = self.book.apply(events.TimeRanOut())
        self.assertIsInstance(decision, decisions.Fail)

    def test_refusals_of_both_prove_that_it_has_not_run(self):
        send(self.book, 't2')
        self.book.apply(events.TargetRefused(target_id='t2'))
        decision = self.book.apply(events.TargetRefused(target_id='t1'))
        self.assertIsInstance(decision, decisions.Refuse)


class UnknownEventTests(unittest.TestCase):
    def test_is_refused(self):
        with self.assertRaises(exceptions.UnknownEvent):
            build(may_repeat=True).apply(object())
