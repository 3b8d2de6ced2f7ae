"""Test that repeated tries are safe, bounded and in time."""

import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies
import numpy

from savoryyoke.retries import aggregates
from savoryyoke.retries import budgets
from savoryyoke.retries import conf
from savoryyoke.retries import deadlines
from savoryyoke.retries import decisions
from savoryyoke.retries import events

_POLICY = conf.RetryPolicy()
_FAR = deadlines.Deadline(at_s=1e9)
_SEED = 11


class _UnboundedBudget(budgets.RetryBudget):
    """Mutant and naive version: covers every repeated try."""

    def withdraw(self, *, now_s):
        return True


class _RepeatsLostCalls(aggregates.ServiceRetries):
    """Mutant: takes each call for idempotent."""

    def _objection(self, call, failure, now_s):
        call.idempotent = True
        return super()._objection(call, failure, now_s)


def _first(call_id='c', idempotent=True, deadline=_FAR):
    return events.FirstTry(
        call_id=call_id,
        target_id='target-0',
        idempotent=idempotent,
        deadline=deadline,
    )


def _play_failures(service, failures, *, idempotent):
    """Fail one call's tries in turn; return handed-over tries, give-up."""
    service.apply(_first(idempotent=idempotent), now_s=0.0)
    ran = 0
    for number, failure in enumerate(failures):
        ran += failure in (events.Failure.LOST, events.Failure.FINAL)
        failed = events.TryFailed(
            call_id='c', target_id=f'target-{number}', failure=failure
        )
        (decision,) = service.apply(failed, now_s=0.0)
        if isinstance(decision, decisions.GiveUp):
            return ran, decision
        sent = events.TrySent(call_id='c', target_id=f'target-{number + 1}')
        service.apply(sent, now_s=0.0)
    return ran, None


def _check_safety(service_class, failures):
    service = service_class(policy=_POLICY, now_s=0.0)
    ran, given_up = _play_failures(service, failures, idempotent=False)
    assert ran <= 1, ran
    assert given_up is not None
    assert given_up.not_run == (ran == 0)


class SafetyTest(unittest.TestCase):
    """Check that a non-idempotent call is handed over once at most."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        failures=strategies.lists(
            strategies.sampled_from(events.Failure), min_size=3, max_size=3
        )
    )
    def test_non_idempotent_call_runs_once_at_most(self, failures):
        _check_safety(aggregates.ServiceRetries, failures)

    def test_mutant_is_caught(self):
        with self.assertRaises(AssertionError):
            _check_safety(_RepeatsLostCalls, [events.Failure.LOST] * 3)

    def test_late_answer_cancels_the_other_try(self):
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        service.apply(_first(), now_s=0.0)
        answered = events.TryAnswered(
            call_id='c', target_id='target-0', latency_s=1.0
        )
        self.assertEqual((), service.apply(answered, now_s=1.0))
        sent = events.TrySent(call_id='c', target_id='target-1')
        (cancel,) = service.apply(sent, now_s=1.0)
        self.assertEqual('target-1', cancel.target_id)


class AmplificationTest(unittest.TestCase):
    """Check the stated bound on repeated tries."""

    _CALLS = 2000
    _CALLS_PER_S = 100.0

    def test_outage_adds_no_more_than_the_budget(self):
        seconds = self._CALLS / self._CALLS_PER_S
        bound = (
            self._CALLS * (1 + _POLICY.budget_share)
            + _POLICY.budget_burst
            + _POLICY.budget_per_s * seconds
        )
        self.assertLessEqual(self._runs_in_outage(), bound)
        with unittest.mock.patch.object(
            budgets, 'RetryBudget', _UnboundedBudget
        ):
            self.assertGreater(self._runs_in_outage(), bound)

    def test_planned_stop_repeats_all_that_was_handed_back(self):
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        repeated = 0
        for number in range(500):
            service.apply(_first(f'c-{number}', False), now_s=0.0)
            failed = events.TryFailed(
                call_id=f'c-{number}',
                target_id='target-0',
                failure=events.Failure.DRAINING,
            )
            (decision,) = service.apply(failed, now_s=0.0)
            repeated += isinstance(decision, decisions.TryAgain)
        self.assertEqual(500, repeated)

    def _runs_in_outage(self):
        """Lose every try; return how often a back end ran a call."""
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        runs = 0
        for number in range(self._CALLS):
            now_s = number / self._CALLS_PER_S
            call_id = f'c-{number}'
            service.apply(_first(call_id), now_s=now_s)
            for attempt in range(_POLICY.most_tries):
                runs += 1
                lost = events.TryFailed(
                    call_id=call_id,
                    target_id=f'target-{attempt}',
                    failure=events.Failure.LOST,
                )
                (decision,) = service.apply(lost, now_s=now_s)
                if isinstance(decision, decisions.GiveUp):
                    break
                sent = events.TrySent(
                    call_id=call_id, target_id=f'target-{attempt + 1}'
                )
                service.apply(sent, now_s=now_s)
        return runs


class HedgingTest(unittest.TestCase):
    """Check that hedges shorten the tail within the budget."""

    def test_hedges_halve_the_tail(self):
        plain_s, hedged_s, hedges, cancelled = _play_hedges(4000)
        self.assertLessEqual(hedged_s, plain_s / 2)
        self.assertLessEqual(hedges, 4000 * _POLICY.budget_share)
        self.assertGreater(hedges, 0)
        self.assertEqual(hedges, cancelled)


def _play_hedges(calls):
    """Return the 99.5th percentiles without and with hedges, and counts.

    One try in fifty meets a stall of a second.
    """
    generator = numpy.random.default_rng(_SEED)
    service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
    plain, hedged, hedges, cancelled = [], [], 0, 0
    now_s = 0.0
    for number in range(calls):
        now_s += 2.0
        latency_s, second_s = generator.lognormal(-3.0, 0.3, 2)
        latency_s += 1.0 if generator.random() < 0.02 else 0.0
        call_id = f'c-{number}'
        service.apply(_first(call_id), now_s=now_s)
        plain.append(latency_s)
        hedge_s = service.next_hedge_s
        if hedge_s is not None and hedge_s - now_s < latency_s:
            made = service.apply(events.Ticked(), now_s=hedge_s)
            hedges += len(made)
            if made:
                latency_s = min(latency_s, hedge_s - now_s + second_s)
                sent = events.TrySent(call_id=call_id, target_id='target-1')
                service.apply(sent, now_s=hedge_s)
        hedged.append(latency_s)
        answered = events.TryAnswered(
            call_id=call_id, target_id='target-0', latency_s=latency_s
        )
        cancelled += len(service.apply(answered, now_s=now_s + latency_s))
    plain_s, hedged_s = numpy.quantile([plain, hedged], 0.995, axis=1)
    return plain_s, hedged_s, hedges, cancelled


class DeadlineTest(unittest.TestCase):
    """Check that the time left shrinks from hop to hop."""

    def test_time_left_covers_each_hop(self):
        remaining_s = 1.0
        for held_s in (0.1, 0.3):
            deadline = deadlines.Deadline.start(
                remaining_s=remaining_s, received_s=50.0
            )
            sent_s = deadline.for_next_hop_s(now_s=50.0 + held_s)
            self.assertAlmostEqual(
                remaining_s - held_s - 2 * conf.HOP_ALLOWANCE_S, sent_s
            )
            remaining_s = sent_s

    def test_no_try_after_a_freeze(self):
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        deadline = deadlines.Deadline.start(remaining_s=2.0, received_s=0.0)
        service.apply(_first(deadline=deadline), now_s=0.0)
        failed = events.TryFailed(
            call_id='c',
            target_id='target-0',
            failure=events.Failure.UNREACHABLE,
        )
        (decision,) = service.apply(failed, now_s=60.0)
        self.assertEqual(decisions.GiveUpReason.DEADLINE, decision.reason)
