"""Test that teams share a target by their weights."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies
import numpy

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf
from savoryyoke.admission import decisions
from savoryyoke.admission import events
from savoryyoke.admission import queues
from tests.admission import simulation

_SEED = 7
_COSTS = strategies.lists(strategies.integers(1, 20), min_size=30, max_size=40)


class _FirstComeFirstServed(queues.FairQueue):
    """Mutant and naive version: serves in order of arrival."""

    def pop(self):
        for call_id in self.call_ids:
            return self.remove(call_id)
        return None


class _KeepsCredit(queues.FairQueue):
    """Mutant: lets an idle team save up its share."""

    def _enter(self, queue):
        self._virtual_time = 0.0
        super()._enter(queue)


def _waiting(team, number, weight, cost):
    return queues.QueuedCall(
        call_id=f'{team}-{number}',
        team=team,
        weight=weight,
        priority=0,
        cost=float(cost),
        cancelable=False,
        arrived_s=float(number),
        latest_start_s=1e9,
    )


def _check_against_fluid(queue_class, costs_by_team, weight_by_team):
    """Compare work started with an ideal fluid server's shares.

    Teams join one after the other. While all present are backlogged, the
    work over weight of any two may differ by no more than the largest
    call of each over its weight.
    """
    queue = queue_class()
    joined = []
    for team, costs in costs_by_team.items():
        for number, cost in enumerate(costs):
            queue.push(_waiting(team, number, weight_by_team[team], cost))
        joined.append(team)
        served = dict.fromkeys(joined, 0.0)
        for _ in range(8):
            call = queue.pop()
            served[call.team] += call.cost / weight_by_team[call.team]
            _check_pairs(served, costs_by_team, weight_by_team)


def _check_pairs(served, costs_by_team, weight_by_team):
    for one, other in itertools.combinations(served, 2):
        bound = sum(
            max(costs_by_team[team]) / weight_by_team[team]
            for team in (one, other)
        )
        difference = abs(served[one] - served[other])
        assert difference <= bound + 1e-9, (one, other, difference, bound)


class FluidShareTest(unittest.TestCase):
    """Check the queue against an ideal fluid server."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        costs=strategies.lists(_COSTS, min_size=2, max_size=3),
        weights=strategies.lists(
            strategies.sampled_from([0.5, 1.0, 3.0]), min_size=3, max_size=3
        ),
    )
    def test_shares_stay_within_one_call_of_each_team(self, costs, weights):
        names = [f'team-{number}' for number in range(len(costs))]
        _check_against_fluid(
            queues.FairQueue,
            dict(zip(names, costs)),
            dict(zip(names, weights)),
        )

    def test_mutants_are_caught(self):
        costs = {'a': [5] * 30, 'b': [5] * 30}
        weights = {'a': 1.0, 'b': 1.0}
        for mutant in (_FirstComeFirstServed, _KeepsCredit):
            with self.assertRaises(AssertionError, msg=mutant.__name__):
                _check_against_fluid(mutant, costs, weights)

    def test_priority_goes_first_but_starves_nobody(self):
        queue = queues.FairQueue()
        for number in range(100):
            urgent = _call('t', f'urgent-{number}', priority=1)
            queue.push(_queued(urgent, arrived_s=float(number)))
        queue.push(_queued(_call('t', 'patient', priority=0), arrived_s=0.0))
        order = [queue.pop().call_id for _ in range(101)]
        place = order.index('patient')
        # One urgent call arrives each second; on a tie it was first.
        self.assertEqual(conf.PRIORITY_HEAD_START_S + 1, place)


def _call(team, call_id, priority=0):
    return events.Arrived(
        call_id=call_id, team=team, remaining_s=300.0, priority=priority
    )


def _queued(call, arrived_s):
    return queues.QueuedCall(
        call_id=call.call_id,
        team=call.team,
        weight=call.weight,
        priority=call.priority,
        cost=call.cost,
        cancelable=False,
        arrived_s=arrived_s,
        latest_start_s=arrived_s + call.remaining_s,
    )


def _small_team_p95_wait_s(queue_class, burst):
    """Return the 95th percentile and the refusals of a steady team."""
    admission = aggregates.Admission(
        limits=conf.AdmissionLimits(
            max_concurrency=4, initial_concurrency=4, queue_limit=200
        )
    )
    admission._queue = queue_class()
    sim = simulation.Simulation(
        admission=admission,
        service_time_s=lambda call, running, now_s: 0.5,
    )
    generator = numpy.random.default_rng(_SEED)
    for team, count, rate in (('large', 500, 6.0), ('small', 80, 1.0)):
        gaps = generator.exponential(1 / rate, count)
        for number, at_s in enumerate(numpy.cumsum(gaps)):
            arrived = _call(team, f'{team}-{number}')
            sim.schedule(at_s=float(at_s), event=arrived)
    for number in range(burst):
        sim.schedule(at_s=20.0, event=_call('large', f'burst-{number}'))
    sim.run()
    refused = [name for name in sim.refusals_by_id if 'small' in name]
    waits_s = sim.waits_s('small')
    return waits_s[int(0.95 * len(waits_s))], len(refused)


class BurstTest(unittest.TestCase):
    """Check what a large team's burst does to a small team."""

    # A small team's call waits for the running calls and, at most, one
    # call of the other team per call of its own.
    _FACTOR = 3.0

    def test_burst_hardly_moves_the_small_team(self):
        calm_s, _ = _small_team_p95_wait_s(queues.FairQueue, 0)
        burst_s, refused = _small_team_p95_wait_s(queues.FairQueue, 300)
        naive_s, _ = _small_team_p95_wait_s(_FirstComeFirstServed, 300)
        self.assertEqual(0, refused)
        self.assertLessEqual(burst_s, self._FACTOR * max(calm_s, 0.125))
        self.assertGreater(naive_s, self._FACTOR * max(calm_s, 0.125))


class QueueShareTest(unittest.TestCase):
    """Check how teams share the places of a bounded queue."""

    def setUp(self):
        """Keep the back end busy."""
        self.admission = aggregates.Admission(
            limits=conf.AdmissionLimits(max_concurrency=1, queue_limit=10)
        )
        self._queued_after('busy', 1)

    def test_one_team_leaves_half_of_the_places(self):
        self.assertEqual(5, self._queued_after('large', 50))

    def test_newcomer_displaces_the_longest_queue(self):
        for number in range(6):
            self._queued_after(f'team-{number}', 10)
        before = self.admission.snapshot().queued
        self.assertEqual(10, before)
        made = self.admission.apply(_call('new', 'new-0'), now_s=0.0)
        displaced, queued = made
        self.assertIs(decisions.RefusalReason.DISPLACED, displaced.reason)
        self.assertTrue(displaced.call_id.startswith('team-0'))
        self.assertEqual('new-0', queued.call_id)

    def _queued_after(self, team, calls):
        for number in range(calls):
            arrived = _call(team, f'{team}-{number}')
            self.admission.apply(arrived, now_s=0.0)
        return self.admission.snapshot().queued


class WaitEstimateTest(unittest.TestCase):
    """Check the estimated waits against what the calls met."""

    def test_most_estimates_are_right_within_a_factor_of_two(self):
        self.assertGreaterEqual(_share_of_true_estimates(1), 0.8)
        # Mutant: forgets that calls run side by side.
        self.assertLess(_share_of_true_estimates(4), 0.8)


def _share_of_true_estimates(factor):
    """Return the share of queued calls with a true estimate."""
    admission = aggregates.Admission(
        limits=conf.AdmissionLimits(
            max_concurrency=4, initial_concurrency=4, queue_limit=400
        )
    )
    sim = simulation.Simulation(
        admission=admission,
        service_time_s=lambda call, running, now_s: 0.5 * call.cost,
    )
    generator = numpy.random.default_rng(_SEED)
    for team, rate in (('large', 4.0), ('small', 1.0)):
        gaps = generator.exponential(1 / rate, int(60 * rate))
        for number, at_s in enumerate(numpy.cumsum(gaps)):
            arrived = events.Arrived(
                call_id=f'{team}-{number}',
                team=team,
                remaining_s=1e6,
                cost=float(generator.integers(1, 4)),
            )
            sim.schedule(at_s=float(at_s), event=arrived)
    sim.run()
    true = [
        0.5 <= sim.wait_s(call_id) / (factor * estimated_s) <= 2.0
        for call_id, estimated_s in sim.estimates_s_by_id.items()
        if estimated_s > 0
    ]
    return sum(true) / len(sim.estimates_s_by_id)
