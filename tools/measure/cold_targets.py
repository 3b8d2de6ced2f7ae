"""Measure what a target that starts or turns cold has to bear.

A back end bears more the more calls it has completed since its start. Beyond
that it slows down, and far beyond it crashes and restarts. The limit
by evidence is compared with no limit of its own and with a timed ramp.
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
COLD_BEARS = 2.0
RESTART_S = 10.0
TURNS_COLD_S = 120.0
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
    """Let the operators' bound be in force at once and always."""

    def __init__(self, *, limits, policy):
        """Keep the bound."""
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
    """Raise the limit evenly over RAMP_S after each known restart."""

    def __init__(self, **options):
        """Start cold."""
        super().__init__(**options)
        self._now_s = 0.0
        self._started_s = 0.0

    @property
    def in_force(self):
        """Return the number of calls that may run at once."""
        share = (self._now_s - self._started_s) / RAMP_S
        return max(1, int(min(share, 1.0) * self._limits.max_concurrency))

    def halve_if_idle(self, *, now_s, running):
        """Follow the time."""
        self._now_s = now_s

    def turn_cold(self):
        """Start the ramp again."""
        self._started_s = self._now_s


@dataclasses.dataclass(kw_only=True)
class Backend:
    """Model a back end that warms up by its calls."""

    scenario: Scenario
    completed: int = 0
    running: int = 0
    starts: int = 0
    up: bool = True

    @property
    def warmth(self):
        """Return how warm it is, from 0.0 to 1.0."""
        return min(self.completed / self.scenario.calls_to_warm, 1.0)

    @property
    def bears(self):
        """Return the calls that it bears side by side."""
        return COLD_BEARS + self.warmth * (MAX_CONCURRENCY - COLD_BEARS)

    def service_s(self, generator):
        """Return the time that the next call takes."""
        slowdown = 1 + (COLD_SLOWDOWN - 1) * (1 - self.warmth)
        crowding = max(self.running / self.bears, 1.0)
        noise = generator.uniform(0.8, 1.2)
        return WARM_SERVICE_S * slowdown * crowding * noise


class Target:
    """Simulate one target under steady traffic."""

    def __init__(self, *, limit_class, scenario, seed):
        """Schedule the traffic."""
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
        self.lost = 0
        self.completed_s = []
        self._schedule(0.0, self._arrive)
        self._schedule(TURNS_COLD_S, self._turn_cold)

    def run(self):
        """Run to the end."""
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
        if backend.running > self._scenario.crashes_at_share * backend.bears:
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
        # Nobody is told: only the service times show it.
        self._backend.completed = 0

    def _crash(self):
        if not self._backend.up:
            return
        self._backend.up = False
        self.crashes += 1
        self.lost += len(self._running)
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
    last_minute = [
        sum(at_s > END_S - 60 for at_s in target.completed_s)
        for target in targets
    ]
    name = limit_class.__name__ if limit_class else 'evidence'
    print(
        f'limit={name} calls_to_warm={scenario.calls_to_warm}'
        f' crashes_at_share={scenario.crashes_at_share}'
        f' seeds={SEEDS.start}-{SEEDS.stop - 1}'
        f' crashes_mean={numpy.mean([t.crashes for t in targets]):.1f}'
        f' lost_calls_mean={numpy.mean([t.lost for t in targets]):.1f}'
        f' completed_mean={numpy.mean(completed):.0f}'
        f' last_minute_per_s={numpy.mean(last_minute) / 60:.1f}'
    )


def main():
    """Print one line for each scenario and policy."""
    for scenario in SCENARIOS:
        for limit_class in (FixedLimit, TimedRamp, None):
            report(limit_class=limit_class, scenario=scenario)


if __name__ == '__main__':
    main()
