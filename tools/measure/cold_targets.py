"""Compare concurrency limits for targets that start or become cold.

The more calls a back end has completed since its start, the more it can run
at once. Above that number it slows down, and far above it crashes and
restarts. The product's limit, which follows completed calls, is compared with
a fixed limit and with a limit that rises over time.
"""

import dataclasses
import heapq

import numpy

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf
from savoryyoke.admission import decisions
from savoryyoke.admission import events

MAX_CONCURRENCY = 16
CALLS_PER_S = 12.0
DEADLINE_S = 20.0
WARM_SERVICE_S = 1.0
COLD_SLOWDOWN = 4.0
COLD_CAPACITY_CALLS = 2.0
RESTART_S = 10.0
TURNS_COLD_AT_S = 120.0
RAMP_S = 60.0
END_S = 240.0
SEEDS = range(5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Describe how fast a back end warms up and when it crashes."""

    calls_to_warm: int
    crashes_at_share: float


SCENARIOS = (
    Scenario(calls_to_warm=40, crashes_at_share=1.5),
    Scenario(calls_to_warm=120, crashes_at_share=1.5),
    Scenario(calls_to_warm=40, crashes_at_share=10.0),
)


class FixedLimit:
    """Apply the operators' maximum at all times."""

    def __init__(self, *, limits, policy):
        """Store the limits."""
        self._limits = limits
        self.epoch = 0
        self.cold = False

    @property
    def in_force(self):
        """Return the number of calls that may run at once."""
        return self._limits.max_concurrency

    def halve_if_idle(self, *, now_s, running):
        """Ignore the time."""

    def record_success(self, **evidence):
        """Ignore successes."""

    def record_failure(self, **evidence):
        """Ignore failures."""

    def record_crash(self):
        """Ignore crashes."""

    def turn_cold(self):
        """Ignore restarts."""


class TimedRamp(FixedLimit):
    """Raise the limit linearly over RAMP_S after each reported restart."""

    def __init__(self, **options):
        """Start the ramp at time 0."""
        super().__init__(**options)
        self._now_s = 0.0
        self._started_s = 0.0

    @property
    def in_force(self):
        """Return the number of calls that may run at once."""
        share = (self._now_s - self._started_s) / RAMP_S
        return max(1, int(min(share, 1.0) * self._limits.max_concurrency))

    def halve_if_idle(self, *, now_s, running):
        """Store the current time."""
        self._now_s = now_s

    def turn_cold(self):
        """Start the ramp again."""
        self._started_s = self._now_s


@dataclasses.dataclass(kw_only=True)
class Backend:
    """Model a back end that warms up as it completes calls."""

    scenario: Scenario
    completed: int = 0
    running: int = 0
    starts: int = 0
    up: bool = True

    @property
    def warmth(self):
        """Return the progress of the warm-up, from 0.0 to 1.0."""
        return min(self.completed / self.scenario.calls_to_warm, 1.0)

    @property
    def capacity_calls(self):
        """Return how many calls it can run at once without slowing down."""
        return COLD_CAPACITY_CALLS + self.warmth * (
            MAX_CONCURRENCY - COLD_CAPACITY_CALLS
        )

    def service_s(self, generator):
        """Return the duration of the next call in seconds."""
        slowdown = 1 + (COLD_SLOWDOWN - 1) * (1 - self.warmth)
        crowding = max(self.running / self.capacity_calls, 1.0)
        noise = generator.uniform(0.8, 1.2)
        return WARM_SERVICE_S * slowdown * crowding * noise


class Target:
    """Simulate one target under steady traffic."""

    def __init__(self, *, limit_class, scenario, seed):
        """Schedule the first arrival and the loss of warmth."""
        self._scenario = scenario
        self._generator = numpy.random.default_rng(seed)
        self._admission = aggregates.Admission(
            limits=conf.AdmissionLimits(
                max_concurrency=MAX_CONCURRENCY, initial_concurrency=1
            )
        )
        if limit_class is not None:
            self._admission._concurrency = limit_class(
                limits=conf.AdmissionLimits(max_concurrency=MAX_CONCURRENCY),
                policy=conf.WarmUpPolicy(),
            )
        self._backend = Backend(scenario=scenario)
        self._pending = []
        self._sequence = 0
        self._now_s = 0.0
        self._running = set()
        self.crashes = 0
        self.lost_calls = 0
        self.completed_s = []
        self._schedule(0.0, self._arrive)
        self._schedule(TURNS_COLD_AT_S, self._turn_cold)

    def run(self):
        """Run the simulation up to ``END_S``."""
        while self._pending and self._pending[0][0] < END_S:
            self._now_s, _, action = heapq.heappop(self._pending)
            action()

    def _schedule(self, delay_s, action):
        self._sequence += 1
        entry = (self._now_s + delay_s, self._sequence, action)
        heapq.heappush(self._pending, entry)

    def _apply(self, event):
        for decision in self._admission.apply(event, now_s=self._now_s):
            if isinstance(decision, decisions.Start):
                self._start(decision.call_id)

    def _arrive(self):
        arrived = events.Arrived(
            call_id=f'call-{self._sequence}', team='t', remaining_s=DEADLINE_S
        )
        self._apply(arrived)
        gap_s = self._generator.exponential(1 / CALLS_PER_S)
        self._schedule(gap_s, self._arrive)

    def _start(self, call_id):
        backend = self._backend
        backend.running += 1
        self._running.add(call_id)
        if (
            backend.running
            > self._scenario.crashes_at_share * backend.capacity_calls
        ):
            self._schedule(0.0, self._crash)
        starts = backend.starts
        service_s = backend.service_s(self._generator)
        self._schedule(
            service_s, lambda: self._complete(call_id, starts, service_s)
        )

    def _complete(self, call_id, starts, service_s):
        if starts != self._backend.starts or not self._backend.up:
            return
        self._backend.running -= 1
        self._backend.completed += 1
        self._running.discard(call_id)
        self.completed_s.append(self._now_s)
        self._apply(
            events.Finished(
                call_id=call_id, succeeded=True, service_time_s=service_s
            )
        )

    def _turn_cold(self):
        # No event is sent; only the service times show the change.
        self._backend.completed = 0

    def _crash(self):
        if not self._backend.up:
            return
        self._backend.up = False
        self.crashes += 1
        self.lost_calls += len(self._running)
        self._apply(events.BackendStopped())
        for call_id in sorted(self._running):
            self._apply(
                events.Finished(
                    call_id=call_id, succeeded=False, service_time_s=0.0
                )
            )
        self._running.clear()
        self._schedule(RESTART_S, self._restart)

    def _restart(self):
        self._backend = Backend(
            scenario=self._scenario, starts=self._backend.starts + 1
        )
        self._apply(events.BackendRestarted())


def report(*, limit_class, scenario):
    """Measure one policy in one scenario and print its line."""
    targets = [
        Target(limit_class=limit_class, scenario=scenario, seed=seed)
        for seed in SEEDS
    ]
    for target in targets:
        target.run()
    completed = [len(target.completed_s) for target in targets]
    completed_in_last_minute = [
        sum(at_s > END_S - 60 for at_s in target.completed_s)
        for target in targets
    ]
    name = limit_class.__name__ if limit_class else 'evidence'
    print(
        f'limit={name} calls_to_warm={scenario.calls_to_warm}'
        f' crashes_at_share={scenario.crashes_at_share}'
        f' seeds={SEEDS.start}-{SEEDS.stop - 1}'
        f' crashes_mean={numpy.mean([t.crashes for t in targets]):.1f}'
        f' lost_calls_mean={numpy.mean([t.lost_calls for t in targets]):.1f}'
        f' completed_mean={numpy.mean(completed):.0f}'
        f' last_minute_per_s={numpy.mean(completed_in_last_minute) / 60:.1f}'
    )


def main():
    """Print one line for each scenario and policy."""
    for scenario in SCENARIOS:
        for limit_class in (FixedLimit, TimedRamp, None):
            report(limit_class=limit_class, scenario=scenario)


if __name__ == '__main__':
    main()
