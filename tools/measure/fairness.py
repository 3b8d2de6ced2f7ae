"""Measure how teams share the queue of one target.

Nine small teams send steadily while a large team sends a burst; fair queueing
is compared with service in order of arrival. Then three teams with weights
keep the target busy, and their shares are compared with those of an ideal
fluid server. Last, the processor time per event is measured for many teams.
"""

import heapq
import time

import numpy

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf
from savoryyoke.admission import decisions
from savoryyoke.admission import events
from savoryyoke.admission import queues

CONCURRENCY = 8
SERVICE_S = 0.5
SMALL_TEAMS = 9
SMALL_CALLS_PER_S = 0.5
LARGE_CALLS_PER_S = 6.0
BURST_CALLS = 400
BURST_S = 30.0
END_S = 90.0
DEADLINE_S = 120.0
QUEUE_LIMIT = 256
SEEDS = range(5)
WAITING_TEAMS = 2200


class ArrivalOrderQueue(queues.FairQueue):
    """Return calls in order of arrival."""

    def pop(self):
        """Remove and return the oldest call; None if empty."""
        for call_id in self.call_ids:
            return self.remove(call_id)
        return None


class Target:
    """Simulate one warm target in virtual time."""

    def __init__(self, *, queue_class):
        """Create a target with a queue of the given class."""
        limits = conf.AdmissionLimits(
            max_concurrency=CONCURRENCY,
            initial_concurrency=CONCURRENCY,
            queue_limit=QUEUE_LIMIT,
        )
        self._admission = aggregates.Admission(limits=limits)
        self._admission._queue = queue_class()
        self._pending = []
        self._sequence = 0
        self._calls_by_id = {}
        self.waits_s_by_team = {}
        self.cost_by_team = {}
        self.refused_by_team = {}

    def offer(self, *, at_s, team, weight=1.0, cost=1.0):
        """Schedule the arrival of a call at a virtual time."""
        self._sequence += 1
        call = events.Arrived(
            call_id=f'{self._sequence}',
            team=team,
            weight=weight,
            cost=cost,
            remaining_s=DEADLINE_S,
        )
        self._calls_by_id[call.call_id] = (at_s, call)
        heapq.heappush(self._pending, (at_s, self._sequence, call))

    def run(self, *, until_s):
        """Process all events up to a virtual time."""
        while self._pending and self._pending[0][0] <= until_s:
            now_s, _, event = heapq.heappop(self._pending)
            for decision in self._admission.apply(event, now_s=now_s):
                self._execute(decision, now_s)

    def _execute(self, decision, now_s):
        arrived_s, call = self._calls_by_id[decision.call_id]
        if isinstance(decision, decisions.Refuse):
            refused = self.refused_by_team.get(call.team, 0)
            self.refused_by_team[call.team] = refused + 1
        if not isinstance(decision, decisions.Start):
            return
        waits_s = self.waits_s_by_team.setdefault(call.team, [])
        waits_s.append(now_s - arrived_s)
        cost = self.cost_by_team.get(call.team, 0.0) + call.cost
        self.cost_by_team[call.team] = cost
        service_s = SERVICE_S * call.cost
        finished = events.Finished(
            call_id=call.call_id, succeeded=True, service_time_s=service_s
        )
        self._sequence += 1
        entry = (now_s + service_s, self._sequence, finished)
        heapq.heappush(self._pending, entry)


def measure_burst(*, queue_class, burst_calls, seed):
    """Return the waits in seconds and the refusals of the small teams."""
    generator = numpy.random.default_rng(seed)
    target = Target(queue_class=queue_class)
    rates = {
        f'small-{number}': SMALL_CALLS_PER_S for number in range(SMALL_TEAMS)
    }
    rates['large'] = LARGE_CALLS_PER_S
    for team, rate in rates.items():
        count = int(END_S * rate)
        for at_s in numpy.sort(generator.uniform(0, END_S, count)):
            target.offer(at_s=float(at_s), team=team)
    for _ in range(burst_calls):
        target.offer(at_s=BURST_S, team='large')
    target.run(until_s=2 * END_S)
    small_teams = [team for team in rates if team != 'large']
    waits_s = [
        wait_s
        for team in small_teams
        for wait_s in target.waits_s_by_team[team]
    ]
    refused = sum(target.refused_by_team.get(team, 0) for team in small_teams)
    return waits_s, refused


def report_burst(*, queue_class, burst_calls):
    """Print the waits of the small teams over all seeds."""
    waits_s, refused = [], 0
    for seed in SEEDS:
        result = measure_burst(
            queue_class=queue_class, burst_calls=burst_calls, seed=seed
        )
        waits_s.extend(result[0])
        refused += result[1]
    print(
        f'queue={queue_class.__name__} burst_calls={burst_calls}'
        f' seeds={SEEDS.start}-{SEEDS.stop - 1}'
        f' small_calls={len(waits_s)}'
        f' wait_p50_s={numpy.quantile(waits_s, 0.5):.3f}'
        f' wait_p95_s={numpy.quantile(waits_s, 0.95):.3f}'
        f' small_refused={refused}'
    )


def report_shares():
    """Print the shares of three busy teams and those of a fluid server."""
    weights = {'one': 1.0, 'two': 2.0, 'four': 4.0}
    generator = numpy.random.default_rng(SEEDS.start)
    target = Target(queue_class=queues.FairQueue)
    for team, weight in weights.items():
        for number in range(2000):
            cost = float(generator.integers(1, 10))
            at_s = number * END_S / 2000
            target.offer(at_s=at_s, team=team, weight=weight, cost=cost)
    target.run(until_s=END_S)
    total = sum(target.cost_by_team.values())
    for team, weight in weights.items():
        share = target.cost_by_team[team] / total
        fluid_share = weight / sum(weights.values())
        print(
            f'team={team} weight={weight} seed={SEEDS.start}'
            f' share={share:.3f} fluid_share={fluid_share:.3f}'
        )


def report_event_time():
    """Print the processor time of an event with many waiting teams."""
    limits = conf.AdmissionLimits(
        max_concurrency=CONCURRENCY, queue_limit=2 * WAITING_TEAMS
    )
    admission = aggregates.Admission(limits=limits)
    running = []
    started_s = time.process_time()
    for number in range(WAITING_TEAMS):
        call = events.Arrived(
            call_id=f'{number}', team=f'team-{number}', remaining_s=1e6
        )
        made_decisions = admission.apply(call, now_s=0.0)
        running += [
            decision
            for decision in made_decisions
            if isinstance(decision, decisions.Start)
        ]
    arrived_s = time.process_time()
    for number in range(WAITING_TEAMS):
        finished = events.Finished(
            call_id=running[number].call_id, succeeded=True, service_time_s=1.0
        )
        made_decisions = admission.apply(finished, now_s=1.0)
        running += [
            decision
            for decision in made_decisions
            if isinstance(decision, decisions.Start)
        ]
    finished_s = time.process_time()
    arrival_us = (arrived_s - started_s) / WAITING_TEAMS * 1e6
    finish_us = (finished_s - arrived_s) / WAITING_TEAMS * 1e6
    print(
        f'teams={WAITING_TEAMS} arrival_cpu_us={arrival_us:.0f}'
        f' finish_cpu_us={finish_us:.0f}'
    )


def main():
    """Print one line for each case."""
    for queue_class in (queues.FairQueue, ArrivalOrderQueue):
        for burst_calls in (0, BURST_CALLS):
            report_burst(queue_class=queue_class, burst_calls=burst_calls)
    report_shares()
    report_event_time()


if __name__ == '__main__':
    main()
