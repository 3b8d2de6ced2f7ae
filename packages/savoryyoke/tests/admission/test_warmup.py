"""Test that the limit in force follows the evidence."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf
from savoryyoke.admission import events
from savoryyoke.admission import warmup
from tests.admission import simulation

_LIMITS = conf.AdmissionLimits(
    max_concurrency=16, initial_concurrency=1, queue_limit=200
)
_POLICY = conf.WarmUpPolicy()


class _IgnoresEpochs(warmup.ConcurrencyLimit):
    """Mutant: takes calls from before a restart as evidence."""

    def record_success(self, *, epoch, **evidence):
        super().record_success(epoch=self.epoch, **evidence)


class _NeverCuts(warmup.ConcurrencyLimit):
    """Mutant: ignores slow answers."""

    def _record_slow(self, ratio):
        pass


class _NoCeiling(warmup.ConcurrencyLimit):
    """Mutant: climbs back to the limit that went wrong."""

    def _cut(self, factor):
        super()._cut(factor)
        self._ceiling = float('inf')


def _simulate(service_time_s, *, calls, rate, limit_class=None):
    admission = aggregates.Admission(limits=_LIMITS)
    if limit_class is not None:
        admission._concurrency = limit_class(limits=_LIMITS, policy=_POLICY)
    sim = simulation.Simulation(
        admission=admission, service_time_s=service_time_s
    )
    for number in range(calls):
        arrived = events.Arrived(
            call_id=f'call-{number}', team='t', remaining_s=1e6
        )
        sim.schedule(at_s=number / rate, event=arrived)
    sim.run()
    return sim


def _check_restart(limit_class, before, after):
    """Restart under load; bound the limit by the proof given since."""
    limit = limit_class(limits=_LIMITS, policy=_POLICY)
    started_before = [limit.epoch] * before
    for _ in range(before):
        _succeed(limit, limit.epoch)
    limit.turn_cold()
    for epoch in started_before:
        _succeed(limit, epoch)
    assert limit.in_force == _LIMITS.initial_concurrency
    for proved in range(after):
        bound = _LIMITS.initial_concurrency + (
            _POLICY.slow_start_step * proved
        )
        assert limit.in_force <= bound, (limit.in_force, bound)
        _succeed(limit, limit.epoch)


def _succeed(limit, epoch):
    limit.record_success(
        epoch=epoch,
        limit_was_used=True,
        service_s_per_cost=1.0,
        first_token_s=None,
    )


class ColdTargetTest(unittest.TestCase):
    """Check restarts, silent cold starts and idle time."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(
        before=strategies.integers(0, 60), after=strategies.integers(0, 60)
    )
    def test_restart_leaves_only_what_was_proved_since(self, before, after):
        _check_restart(warmup.ConcurrencyLimit, before, after)

    def test_restart_mutant_is_caught(self):
        with self.assertRaises(AssertionError):
            _check_restart(_IgnoresEpochs, 20, 5)

    def test_silent_cold_start_is_noticed(self):
        self.assertEqual(1, self._least_limit_when_cold(None))
        self.assertEqual(16, self._least_limit_when_cold(_NeverCuts))

    def test_steady_cold_target_may_grow_again(self):
        sim = _simulate(
            lambda call, running, now_s: 0.6 if now_s > 20.0 else 0.1,
            calls=2000,
            rate=80.0,
        )
        self.assertGreaterEqual(sim.limits[-1][1], 8)

    def test_crash_halves_the_speed_of_the_next_ramp(self):
        limits = []
        for crashes in (0, 1):
            limit = warmup.ConcurrencyLimit(limits=_LIMITS, policy=_POLICY)
            for _ in range(crashes):
                limit.record_crash()
            limit.turn_cold()
            for _ in range(12):
                _succeed(limit, limit.epoch)
            limits.append(limit.in_force)
        self.assertEqual([7, 4], limits)

    def test_raised_bound_is_reached_as_fast_as_from_the_start(self):
        reached = []
        for limits in (_LIMITS, conf.AdmissionLimits(max_concurrency=2)):
            limit = warmup.ConcurrencyLimit(limits=limits, policy=_POLICY)
            limit.change_limits(limits=_LIMITS)
            for _ in range(20):
                _succeed(limit, limit.epoch)
            reached.append(limit.in_force)
        self.assertEqual([11, 11], reached)

    def test_idle_time_lowers_the_limit(self):
        sim = _simulate(lambda *_: 0.1, calls=300, rate=200.0)
        self.assertEqual(16, sim.limits[-1][1])
        now_s = 3 * _POLICY.idle_period_s + 10.0
        sim.admission.apply(events.Ticked(), now_s=now_s)
        self.assertLessEqual(sim.admission.snapshot().concurrency_limit, 4)

    def test_failures_turn_a_warm_target_cold(self):
        sim = _simulate(lambda *_: 0.1, calls=300, rate=200.0)
        for number in range(6):
            arrived = events.Arrived(
                call_id=f'bad-{number}', team='t', remaining_s=10.0
            )
            sim.admission.apply(arrived, now_s=5.0)
            failed = events.Finished(
                call_id=arrived.call_id, succeeded=False, service_time_s=1.0
            )
            sim.admission.apply(failed, now_s=6.0)
        self.assertTrue(sim.admission.snapshot().cold)

    def _least_limit_when_cold(self, limit_class):
        """Return the least limit within 5 s of the cold start."""
        sim = _simulate(
            lambda call, running, now_s: 0.6 if now_s > 20.0 else 0.1,
            calls=2000,
            rate=80.0,
            limit_class=limit_class,
        )
        return min(limit for at_s, limit in sim.limits if 20.0 < at_s < 25.0)


class OverloadedBackendTest(unittest.TestCase):
    """Check a back end that bears less than the operators' bound."""

    # The limit may probe beyond the knee for a fifth of the time.
    _PROBING_SHARE = 0.2

    def test_limit_settles_below_the_knee(self):
        settled = self._settled_limits(None)
        self.assertLessEqual(max(settled) - min(settled), 3)
        self.assertLessEqual(
            self._share_beyond_knee(settled), self._PROBING_SHARE
        )
        mutated = self._settled_limits(_NoCeiling)
        self.assertGreater(
            self._share_beyond_knee(mutated), self._PROBING_SHARE
        )

    def _share_beyond_knee(self, limits):
        return sum(limit > 8 for limit in limits) / len(limits)

    def _settled_limits(self, limit_class):
        """Return the limits of the last half; the knee is at 8 calls."""

        def service_time_s(call, running, now_s):
            return 0.1 if running <= 8 else 0.1 * (running - 7) ** 2

        sim = _simulate(
            service_time_s, calls=6000, rate=100.0, limit_class=limit_class
        )
        limits = [limit for _, limit in sim.limits]
        return limits[len(limits) // 2 :]
