"""Test how the concurrency limit adapts to the back end."""

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
    """Mutant: counts calls from before a restart."""

    def record_success(self, *, epoch, **sample):
        super().record_success(epoch=self.epoch, **sample)


class _NeverCuts(warmup.ConcurrencyLimit):
    """Mutant: ignores slow answers."""

    def _record_slow(self, ratio):
        pass


class _NoCeiling(warmup.ConcurrencyLimit):
    """Mutant: grows back quickly to the limit that was too high."""

    def _cut(self, factor):
        super()._cut(factor)
        self._ceiling = float('inf')


def _simulate(service_time_s, *, calls, calls_per_s, limit_class=None):
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
        sim.schedule(at_s=number / calls_per_s, event=arrived)
    sim.run()
    return sim


def _check_restart(limit_class, calls_before, calls_after):
    """Restart under load; check the limit against successes since then."""
    limit = limit_class(limits=_LIMITS, policy=_POLICY)
    epochs_before = [limit.epoch] * calls_before
    for _ in range(calls_before):
        _record_success(limit, limit.epoch)
    limit.turn_cold()
    for epoch in epochs_before:
        _record_success(limit, epoch)
    assert limit.in_force == _LIMITS.initial_concurrency
    for successes in range(calls_after):
        bound = _LIMITS.initial_concurrency + (
            _POLICY.slow_start_step * successes
        )
        assert limit.in_force <= bound, (limit.in_force, bound)
        _record_success(limit, limit.epoch)


def _record_success(limit, epoch):
    limit.record_success(
        epoch=epoch,
        limit_was_used=True,
        service_s_per_cost=1.0,
        first_token_s=None,
    )


class ColdTargetTest(unittest.TestCase):
    """Check restarts, unreported cold starts and idle time."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(
        before=strategies.integers(0, 60), after=strategies.integers(0, 60)
    )
    def test_restart_leaves_only_what_was_proved_since(self, before, after):
        _check_restart(warmup.ConcurrencyLimit, before, after)

    def test_restart_mutant_is_caught(self):
        with self.assertRaises(AssertionError):
            _check_restart(_IgnoresEpochs, 20, 5)

    def test_unreported_cold_start_is_detected(self):
        self.assertEqual(1, self._least_limit_when_cold(None))
        self.assertEqual(16, self._least_limit_when_cold(_NeverCuts))

    def test_limit_of_a_steady_cold_target_grows_again(self):
        sim = _simulate(
            lambda call, running, now_s: 0.6 if now_s > 20.0 else 0.1,
            calls=2000,
            calls_per_s=80.0,
        )
        self.assertGreaterEqual(sim.limits[-1][1], 8)

    def test_crash_halves_the_next_growth(self):
        limits = []
        for crashes in (0, 1):
            limit = warmup.ConcurrencyLimit(limits=_LIMITS, policy=_POLICY)
            for _ in range(crashes):
                limit.record_crash()
            limit.turn_cold()
            for _ in range(12):
                _record_success(limit, limit.epoch)
            limits.append(limit.in_force)
        self.assertEqual([7, 4], limits)

    def test_raised_maximum_is_reached_as_fast_as_an_initial_one(self):
        reached_limits = []
        for limits in (_LIMITS, conf.AdmissionLimits(max_concurrency=2)):
            limit = warmup.ConcurrencyLimit(limits=limits, policy=_POLICY)
            limit.change_limits(limits=_LIMITS)
            for _ in range(20):
                _record_success(limit, limit.epoch)
            reached_limits.append(limit.in_force)
        self.assertEqual([11, 11], reached_limits)

    def test_idle_time_lowers_the_limit(self):
        sim = _simulate(lambda *_: 0.1, calls=300, calls_per_s=200.0)
        self.assertEqual(16, sim.limits[-1][1])
        now_s = 3 * _POLICY.idle_period_s + 10.0
        sim.admission.apply(events.Ticked(), now_s=now_s)
        self.assertLessEqual(sim.admission.snapshot().concurrency_limit, 4)

    def test_failures_turn_a_warm_target_cold(self):
        sim = _simulate(lambda *_: 0.1, calls=300, calls_per_s=200.0)
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
            calls_per_s=80.0,
            limit_class=limit_class,
        )
        return min(limit for at_s, limit in sim.limits if 20.0 < at_s < 25.0)


class OverloadedBackendTest(unittest.TestCase):
    """Check a back end whose capacity is below max_concurrency."""

    # The limit may exceed the capacity of 8 calls for a fifth of the time.
    _MAX_SHARE_ABOVE_CAPACITY = 0.2

    def test_limit_settles_below_the_capacity(self):
        settled_limits = self._settled_limits(None)
        self.assertLessEqual(max(settled_limits) - min(settled_limits), 3)
        self.assertLessEqual(
            self._share_above_capacity(settled_limits),
            self._MAX_SHARE_ABOVE_CAPACITY,
        )
        mutant_limits = self._settled_limits(_NoCeiling)
        self.assertGreater(
            self._share_above_capacity(mutant_limits),
            self._MAX_SHARE_ABOVE_CAPACITY,
        )

    def _share_above_capacity(self, limits):
        return sum(limit > 8 for limit in limits) / len(limits)

    def _settled_limits(self, limit_class):
        """Return the limits of the last half of a run.

        The service time increases sharply above 8 calls at once.
        """

        def service_time_s(call, running, now_s):
            return 0.1 if running <= 8 else 0.1 * (running - 7) ** 2

        sim = _simulate(
            service_time_s,
            calls=6000,
            calls_per_s=100.0,
            limit_class=limit_class,
        )
        limits = [limit for _, limit in sim.limits]
        return limits[len(limits) // 2 :]
