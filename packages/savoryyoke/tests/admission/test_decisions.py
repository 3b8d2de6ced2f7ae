"""Test that each call gets exactly one final decision."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf
from savoryyoke.admission import decisions
from savoryyoke.admission import events
from savoryyoke.admission import exceptions
from tests.admission import simulation

_LIMITS = conf.AdmissionLimits(
    max_concurrency=3, initial_concurrency=1, queue_limit=4
)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['arrive'] * 6
            + ['finish'] * 3
            + ['fail', 'cancel', 'stop', 'restart']
            + ['drain', 'undrain', 'wait']
        ),
        strategies.integers(0, 5),
    ),
    max_size=60,
)


class _ForgetsExpired(aggregates.Admission):
    """Mutant: drops the refusals of expired calls."""

    def _refuse_expired_calls(self, now_s):
        super()._refuse_expired_calls(now_s)
        return ()


class _StartsBeyondLimit(aggregates.Admission):
    """Mutant: starts one call more than the limit."""

    def _has_room(self):
        return len(self._running_calls_by_id) <= self._concurrency.in_force


def _apply_steps(admission, steps):
    """Apply random steps; return the final decisions by call id."""
    now_s = 0.0
    final_by_id = {}
    running = []
    for number, (step, choice) in enumerate(steps):
        now_s += 0.5
        event = _build_event(step, choice, number, running, list(final_by_id))
        if step == 'arrive':
            final_by_id[event.call_id] = []
        if step == 'wait':
            now_s += 10.0
        running_before = admission.snapshot().running
        for decision in admission.apply(event, now_s=now_s):
            if isinstance(decision, decisions.Start):
                running.append(decision.call_id)
                report = admission.snapshot()
                assert report.running <= max(
                    running_before, report.concurrency_limit
                )
            if isinstance(decision, decisions.Start | decisions.Refuse):
                final_by_id[decision.call_id].append(decision)
    for decision in admission.apply(events.DrainStarted(), now_s=now_s):
        final_by_id[decision.call_id].append(decision)
    return final_by_id


def _build_event(step, choice, number, running, call_ids):
    if step == 'arrive':
        return events.Arrived(
            call_id=f'call-{number}',
            team=f'team-{choice % 3}',
            remaining_s=0.4 + choice,
            weight=1.0 + choice % 2,
            priority=choice % 2,
            cancelable=bool(choice % 2),
        )
    if step in ('finish', 'fail') and running:
        return events.Finished(
            call_id=running.pop(choice % len(running)),
            succeeded=step == 'finish',
            service_time_s=0.5 + choice / 4,
        )
    if step == 'cancel' and call_ids:
        return events.Cancelled(call_id=call_ids[-1 - choice % len(call_ids)])
    if step == 'stop':
        return events.BackendStopped()
    if step == 'restart':
        return events.BackendRestarted()
    if step == 'drain':
        return events.DrainStarted()
    return events.DrainEnded() if step == 'undrain' else events.Ticked()


def _check_one_final_decision(admission_class, steps):
    final_by_id = _apply_steps(admission_class(limits=_LIMITS), steps)
    for call_id, final in final_by_id.items():
        assert len(final) == 1, (call_id, final)


class FinalDecisionTest(unittest.TestCase):
    """Check that each arrival gets one final decision."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(steps=_STEPS)
    def test_each_arrival_gets_one_within_the_limit(self, steps):
        _check_one_final_decision(aggregates.Admission, steps)

    def test_mutants_are_caught(self):
        burst = [('arrive', 5)] * 4 + [('wait', 0)]
        for mutant in (_ForgetsExpired, _StartsBeyondLimit):
            with self.assertRaises(AssertionError, msg=mutant.__name__):
                _check_one_final_decision(mutant, burst)

    def test_released_call_frees_its_place_and_keeps_the_limit(self):
        admission = aggregates.Admission(limits=_LIMITS)
        for number in range(20):
            admission.apply(_build_call(f'{number}'), now_s=0.0)
            released = events.Released(call_id=f'{number}')
            admission.apply(released, now_s=0.0)
        report = admission.snapshot()
        self.assertEqual((0, 1), (report.running, report.concurrency_limit))

    def test_error_loses_no_expired_call(self):
        admission = aggregates.Admission(limits=_LIMITS)
        for name in ('a', 'b'):
            arrived = events.Arrived(call_id=name, team='t', remaining_s=5.0)
            admission.apply(arrived, now_s=0.0)
        retried_call = events.Arrived(call_id='a', team='t', remaining_s=5.0)
        with self.assertRaises(exceptions.DuplicateCall):
            admission.apply(retried_call, now_s=6.0)
        (refusal,) = admission.apply(events.Ticked(), now_s=6.0)
        self.assertEqual('b', refusal.call_id)

    def test_refused_calls_start_when_retried_as_advised(self):
        sim = simulation.Simulation(
            admission=aggregates.Admission(limits=_LIMITS),
            service_time_s=lambda call, running, now_s: 1.0,
        )
        for number in range(30):
            sim.schedule(at_s=number, event=_build_call(f'warm-{number}'))
        for number in range(12):
            sim.schedule(at_s=40.0, event=_build_call(f'burst-{number}'))
        sim.run()
        refused = list(sim.refusals_by_id.values())
        self.assertGreater(len(refused), 5)
        for now_s, refusal in refused:
            retried_call = _build_call(f'again-{refusal.call_id}')
            sim.schedule(
                at_s=now_s + refusal.retry_after_s, event=retried_call
            )
        sim.refusals_by_id.clear()
        sim.run()
        self.assertEqual({}, sim.refusals_by_id)

    def test_unreachable_deadline_is_refused_at_once(self):
        admission = aggregates.Admission(limits=_LIMITS)
        admission.apply(_build_call('a'), now_s=0.0)
        finished = events.Finished(
            call_id='a', succeeded=True, service_time_s=10.0
        )
        admission.apply(finished, now_s=10.0)
        admission.apply(_build_call('b'), now_s=10.0)
        short_deadline_call = events.Arrived(
            call_id='c', team='t', remaining_s=15.0
        )
        (refusal,) = admission.apply(short_deadline_call, now_s=10.0)
        self.assertEqual(
            decisions.RefusalReason.DEADLINE_UNREACHABLE, refusal.reason
        )
        self.assertAlmostEqual(5.0, refusal.retry_after_s)


def _build_call(call_id):
    return events.Arrived(call_id=call_id, team='t', remaining_s=100.0)
