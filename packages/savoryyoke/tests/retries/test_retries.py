"""Test that repeated tries are safe, limited and within the deadline."""

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
_DISTANT_DEADLINE = deadlines.Deadline(at_s=1e9)
_RANDOM_SEED = 11


class _UnboundedBudget(budgets.RetryBudget):
    """Mutant and naive version: allows every repeated try."""

    def withdraw(self, *, now_s):
        return True


class _TreatsCallsAsIdempotent(aggregates.ServiceRetries):
    """Mutant: treats each call as idempotent."""

    def _give_up_reason(self, call, failure, now_s):
        call.idempotent = True
        return super()._give_up_reason(call, failure, now_s)


def _build_first_try(call_id='c', idempotent=True, deadline=_DISTANT_DEADLINE):
    return events.FirstTry(
        call_id=call_id,
        target_id='target-0',
        idempotent=idempotent,
        deadline=deadline,
    )


def _play_failures(service, failures, *, idempotent):
    """Fail the tries of one call in turn.

    Returns how many tries a back end received, and the GiveUp decision.
    """
    service.apply(_build_first_try(idempotent=idempotent), now_s=0.0)
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
    ran, give_up = _play_failures(service, failures, idempotent=False)
    assert ran <= 1, ran
    assert give_up is not None
    assert give_up.not_run == (ran == 0)


class SafetyTest(unittest.TestCase):
    """Check that a non-idempotent call reaches a back end once at most."""

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
            _check_safety(_TreatsCallsAsIdempotent, [events.Failure.LOST] * 3)

    def test_repeated_try_is_cancelled_after_an_answer(self):
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        service.apply(_build_first_try(), now_s=0.0)
        answered = events.TryAnswered(
            call_id='c', target_id='target-0', latency_s=1.0
        )
        self.assertEqual((), service.apply(answered, now_s=1.0))
        sent = events.TrySent(call_id='c', target_id='target-1')
        (cancel,) = service.apply(sent, now_s=1.0)
        self.assertEqual('target-1', cancel.target_id)


class AmplificationTest(unittest.TestCase):
    """Check the documented bound on repeated tries."""

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

    def test_all_calls_of_a_draining_target_are_repeated(self):
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        repeated = 0
        for number in range(500):
            service.apply(_build_first_try(f'c-{number}', False), now_s=0.0)
            failed = events.TryFailed(
                call_id=f'c-{number}',
                target_id='target-0',
                failure=events.Failure.DRAINING,
            )
            (decision,) = service.apply(failed, now_s=0.0)
            repeated += isinstance(decision, decisions.TryAgain)
        self.assertEqual(500, repeated)

    def _runs_in_outage(self):
        """Lose every try; return how many tries a back end received."""
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        runs = 0
        for number in range(self._CALLS):
            now_s = number / self._CALLS_PER_S
            call_id = f'c-{number}'
            service.apply(_build_first_try(call_id), now_s=now_s)
            for attempt in range(_POLICY.max_tries):
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
        p99_5_s, hedged_p99_5_s, hedges, cancelled = _play_hedges(4000)
        self.assertLessEqual(hedged_p99_5_s, p99_5_s / 2)
        self.assertLessEqual(hedges, 4000 * _POLICY.budget_share)
        self.assertGreater(hedges, 0)
        self.assertEqual(hedges, cancelled)


def _play_hedges(calls):
    """Return the 99.5th percentiles without and with hedges, and counts.

    The counts are of hedges and of cancelled tries. One first try in fifty
    takes an extra second.
    """
    generator = numpy.random.default_rng(_RANDOM_SEED)
    service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
    latencies_s, hedged_latencies_s, hedges, cancelled = [], [], 0, 0
    now_s = 0.0
    for number in range(calls):
        now_s += 2.0
        latency_s, hedge_latency_s = generator.lognormal(-3.0, 0.3, 2)
        latency_s += 1.0 if generator.random() < 0.02 else 0.0
        call_id = f'c-{number}'
        service.apply(_build_first_try(call_id), now_s=now_s)
        latencies_s.append(latency_s)
        hedge_at_s = service.next_hedge_s
        if hedge_at_s is not None and hedge_at_s - now_s < latency_s:
            hedge_decisions = service.apply(events.Ticked(), now_s=hedge_at_s)
            hedges += len(hedge_decisions)
            if hedge_decisions:
                latency_s = min(
                    latency_s, hedge_at_s - now_s + hedge_latency_s
                )
                sent = events.TrySent(call_id=call_id, target_id='target-1')
                service.apply(sent, now_s=hedge_at_s)
        hedged_latencies_s.append(latency_s)
        answered = events.TryAnswered(
            call_id=call_id, target_id='target-0', latency_s=latency_s
        )
        cancelled += len(service.apply(answered, now_s=now_s + latency_s))
    p99_5_s, hedged_p99_5_s = numpy.quantile(
        [latencies_s, hedged_latencies_s], 0.995, axis=1
    )
    return p99_5_s, hedged_p99_5_s, hedges, cancelled


class DeadlineTest(unittest.TestCase):
    """Check that the remaining time decreases from hop to hop."""

    def test_remaining_time_excludes_processing_and_network(self):
        remaining_s = 1.0
        for processing_s in (0.1, 0.3):
            deadline = deadlines.Deadline.start(
                remaining_s=remaining_s, received_s=50.0
            )
            sent_s = deadline.for_next_hop_s(now_s=50.0 + processing_s)
            self.assertAlmostEqual(
                remaining_s - processing_s - 2 * conf.HOP_ALLOWANCE_S, sent_s
            )
            remaining_s = sent_s

    def test_no_try_after_a_process_suspension(self):
        service = aggregates.ServiceRetries(policy=_POLICY, now_s=0.0)
        deadline = deadlines.Deadline.start(remaining_s=2.0, received_s=0.0)
        service.apply(_build_first_try(deadline=deadline), now_s=0.0)
        failed = events.TryFailed(
            call_id='c',
            target_id='target-0',
            failure=events.Failure.UNREACHABLE,
        )
        (decision,) = service.apply(failed, now_s=60.0)
        self.assertEqual(decisions.GiveUpReason.DEADLINE, decision.reason)
