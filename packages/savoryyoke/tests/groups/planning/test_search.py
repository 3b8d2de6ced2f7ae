"""Test map planning against naive versions on tiny groups."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies
import numpy

from savoryyoke.groups import exceptions
from savoryyoke.groups.planning import candidates
from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import maps
from savoryyoke.groups.planning import search

_PROFILE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
_FREE = search.MoveCosts(slowdown=0.0, loading_max_s=1e9, rank_moves_max=99)


@strategies.composite
def _cases(draw, layers=1):
    """Draw (map, loads, speeds) of a tiny group."""
    ranks = draw(strategies.integers(2, 3))
    slots = draw(strategies.integers(1, 2))
    experts = draw(strategies.integers(2, min(4, ranks * slots)))
    start = maps.make_even_map(
        layers=layers, ranks=ranks, slots=slots, experts_count=experts
    )
    load = strategies.integers(0, 50).map(float)
    rows = strategies.lists(load, min_size=experts, max_size=experts)
    loads = draw(strategies.lists(rows, min_size=layers, max_size=layers))
    speeds = [draw(strategies.sampled_from([0.5, 1.0])) for _ in range(ranks)]
    return start, numpy.array(loads), numpy.array(speeds)


def _find_times(rows, loads, speeds):
    """Return rank times by following every replica."""
    times = []
    for row, speed in zip(rows, speeds):
        shares = 0.0
        for expert in row:
            replicas = sum(other.count(expert) for other in rows)
            shares += loads[expert] / replicas
        times.append(shares / speed)
    return times


def _list_neighbours(rows):
    """Yield all maps that one replaced or two exchanged slots make."""
    places = [
        (rank, slot)
        for rank, row in enumerate(rows)
        for slot in range(len(row))
    ]
    experts = {expert for row in rows for expert in row}
    for (rank, slot), expert in itertools.product(places, experts):
        changed = [list(row) for row in rows]
        changed[rank][slot] = expert
        yield changed
    for (rank, slot), (other, place) in itertools.combinations(places, 2):
        changed = [list(row) for row in rows]
        changed[rank][slot] = rows[other][place]
        changed[other][place] = rows[rank][slot]
        yield changed


def _is_valid(rows, experts):
    whole = {expert for row in rows for expert in row} == experts
    return whole and all(len(set(row)) == len(row) for row in rows)


def _find_norm(times):
    return sum(time**conf.NORM_EXPONENT for time in times) ** (
        1 / conf.NORM_EXPONENT
    )


class MapTest(unittest.TestCase):
    """Maps and their times."""

    def test_a_map_without_an_expert_is_refused(self):
        with self.assertRaises(exceptions.InvalidShape):
            maps.ExpertMap(
                experts=numpy.zeros((1, 2, 2), dtype=int), experts_count=2
            )

    def test_the_even_map_spreads_replicas(self):
        start = maps.make_even_map(
            layers=1, ranks=64, slots=2, experts_count=64
        )
        for row in start.experts[0].tolist():
            self.assertEqual(2, len(set(row)))
        counts = maps.count_replicas(start.experts[0], 64)
        self.assertEqual({2}, set(counts.tolist()))

    @_PROFILE
    @hypothesis.given(_cases(layers=2))
    def test_step_times_equal_the_naive_sum(self, case):
        start, loads, speeds = case
        naive = sum(
            max(_find_times(layer.tolist(), row.tolist(), speeds.tolist()))
            for layer, row in zip(start.experts, loads)
        )
        self.assertAlmostEqual(
            naive, maps.find_step_time(start, loads, speeds)
        )


class ImproveTest(unittest.TestCase):
    """One improvement against all single changes."""

    @_PROFILE
    @hypothesis.given(_cases())
    def test_no_single_change_that_helps_the_slowest_is_better(self, case):
        start, loads, speeds = case
        layer = start.experts[0]
        rows = layer.tolist()
        experts = set(range(start.experts_count))
        if not _is_valid(rows, experts):
            return
        before = _find_times(rows, loads[0].tolist(), speeds.tolist())
        slowest = before.index(max(before))
        best = _find_norm(before)
        for changed in _list_neighbours(rows):
            if not _is_valid(changed, experts):
                continue
            times = _find_times(changed, loads[0].tolist(), speeds.tolist())
            if times[slowest] < before[slowest]:
                best = min(best, _find_norm(times))
        chosen = layer.copy()
        for change in candidates.improve(layer, loads[0], speeds):
            chosen[change.rank, change.slot] = change.expert
        self.assertTrue(_is_valid(chosen.tolist(), experts))
        after = _find_times(
            chosen.tolist(), loads[0].tolist(), speeds.tolist()
        )
        self.assertLessEqual(_find_norm(after), best * (1 + 1e-6) + 1e-9)


class SearchTest(unittest.TestCase):
    """Whole plans."""

    @_PROFILE
    @hypothesis.given(
        _cases(layers=2),
        strategies.sampled_from([0.0, 0.05, 5.0]),
        strategies.integers(0, 4),
        strategies.integers(0, 2),
    )
    def test_plans_keep_their_bounds_and_their_word(
        self, case, slowdown, moves_max, rank_moves_max
    ):
        start, loads, speeds = case
        costs = search.MoveCosts(
            slowdown=slowdown,
            store_bytes_per_s=1.0,
            weight_bytes=1,
            loading_max_s=float(moves_max),
            rank_moves_max=rank_moves_max,
            horizon_s=10.0,
        )
        plan = search.run_search(
            search.search_map(start, loads, speeds=speeds, costs=costs)
        )
        moves = maps.count_moves(start, plan.expert_map)
        self.assertEqual(moves.sum(), plan.moves)
        self.assertLessEqual(plan.moves, moves_max)
        self.assertLessEqual(moves.max(), rank_moves_max)
        time = maps.find_step_time(plan.expert_map, loads, speeds)
        self.assertAlmostEqual(time, plan.time_after)
        self.assertLessEqual(plan.time_after, plan.time_before + 1e-9)
        if plan.moves:
            self.assertGreater(plan.saving_s, 0)

    @_PROFILE
    @hypothesis.given(_cases())
    def test_free_plans_are_as_good_as_any_single_change(self, case):
        start, loads, speeds = case
        rows = start.experts[0].tolist()
        experts = set(range(start.experts_count))
        plan = search.run_search(
            search.search_map(start, loads, speeds=speeds, costs=_FREE)
        )
        for changed in _list_neighbours(rows):
            if _is_valid(changed, experts):
                times = _find_times(
                    changed, loads[0].tolist(), speeds.tolist()
                )
                # The norm exceeds the maximum by at most this factor.
                slack = len(rows) ** (1 / conf.NORM_EXPONENT)
                self.assertLessEqual(
                    plan.time_after, max(times) * slack + 1e-9
                )

    def test_a_gain_that_does_not_pay_moves_nothing(self):
        start = maps.make_even_map(layers=1, ranks=4, slots=2, experts_count=4)
        loads = numpy.array([[100.0, 1.0, 1.0, 1.0]])
        for slowdown, moved in ((0.0, True), (1e6, False)):
            costs = search.MoveCosts(slowdown=slowdown)
            plan = search.run_search(
                search.search_map(start, loads, costs=costs)
            )
            self.assertEqual(moved, plan.moves > 0)

    def test_layers_share_one_budget_of_moves(self):
        start = maps.make_even_map(layers=4, ranks=4, slots=2, experts_count=4)
        loads = numpy.tile([100.0, 1.0, 1.0, 1.0], (4, 1))
        costs = search.MoveCosts(
            store_bytes_per_s=1.0, weight_bytes=1, loading_max_s=3.0
        )
        plan = search.run_search(search.search_map(start, loads, costs=costs))
        self.assertIn(plan.moves, (1, 2, 3))

    def test_a_hot_expert_leaves_a_slow_rank(self):
        start = maps.make_even_map(layers=1, ranks=8, slots=2, experts_count=8)
        loads = numpy.full((1, 8), 10.0)
        speeds = numpy.ones(8)
        speeds[3] = 0.5
        plan = search.run_search(
            search.search_map(start, loads, speeds=speeds, costs=_FREE)
        )
        times = maps.find_rank_times(
            plan.expert_map.experts[0], loads[0], speeds
        )
        self.assertLess(plan.time_after, plan.time_before)
        self.assertLess(times[3], 20.0)
