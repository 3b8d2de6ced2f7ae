"""Compare map planning with naive algorithms on tiny groups."""

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

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
_NO_COSTS = search.MoveCosts(
    slowdown=0.0, loading_max_s=1e9, rank_moves_max=99
)


@strategies.composite
def _groups(draw, layers=1):
    """Generate the (map, loads, speeds) of a tiny group."""
    ranks = draw(strategies.integers(2, 3))
    slots = draw(strategies.integers(1, 2))
    experts = draw(strategies.integers(2, min(4, ranks * slots)))
    present = maps.make_even_map(
        layers=layers, ranks=ranks, slots=slots, experts_count=experts
    )
    load = strategies.integers(0, 50).map(float)
    rows = strategies.lists(load, min_size=experts, max_size=experts)
    loads = draw(strategies.lists(rows, min_size=layers, max_size=layers))
    speeds = [draw(strategies.sampled_from([0.5, 1.0])) for _ in range(ranks)]
    return present, numpy.array(loads), numpy.array(speeds)


def _find_times(rows, loads, speeds):
    """Return each rank's time, summed up over all replicas."""
    times = []
    for row, speed in zip(rows, speeds):
        rank_load = 0.0
        for expert in row:
            replicas = sum(rank_experts.count(expert) for rank_experts in rows)
            rank_load += loads[expert] / replicas
        times.append(rank_load / speed)
    return times


def _list_neighbours(rows):
    """Yield all layers that differ by a replacement or an exchange."""
    positions = [
        (rank, slot)
        for rank, row in enumerate(rows)
        for slot in range(len(row))
    ]
    experts = {expert for row in rows for expert in row}
    for (rank, slot), expert in itertools.product(positions, experts):
        changed = [list(row) for row in rows]
        changed[rank][slot] = expert
        yield changed
    for (rank, slot), (other_rank, other_slot) in itertools.combinations(
        positions, 2
    ):
        changed = [list(row) for row in rows]
        changed[rank][slot] = rows[other_rank][other_slot]
        changed[other_rank][other_slot] = rows[rank][slot]
        yield changed


def _is_valid(rows, experts):
    is_complete = {expert for row in rows for expert in row} == experts
    return is_complete and all(len(set(row)) == len(row) for row in rows)


def _find_norm(times):
    return sum(time**conf.NORM_EXPONENT for time in times) ** (
        1 / conf.NORM_EXPONENT
    )


class MapTest(unittest.TestCase):
    """Maps are checked, and their times are correct."""

    def test_a_map_without_an_expert_is_refused(self):
        with self.assertRaises(exceptions.InvalidShape):
            maps.ExpertMap(
                experts=numpy.zeros((1, 2, 2), dtype=int), experts_count=2
            )

    def test_the_even_map_spreads_replicas_over_ranks(self):
        present = maps.make_even_map(
            layers=1, ranks=64, slots=2, experts_count=64
        )
        for row in present.experts[0].tolist():
            self.assertEqual(2, len(set(row)))
        counts = maps.count_replicas(present.experts[0], 64)
        self.assertEqual({2}, set(counts.tolist()))

    @_SETTINGS
    @hypothesis.given(_groups(layers=2))
    def test_step_times_equal_the_naive_sum(self, group):
        present, loads, speeds = group
        naive = sum(
            max(_find_times(layer.tolist(), row.tolist(), speeds.tolist()))
            for layer, row in zip(present.experts, loads)
        )
        self.assertAlmostEqual(
            naive, maps.find_step_time(present, loads, speeds)
        )


class BestChangeTest(unittest.TestCase):
    """The best change is at least as good as any single change."""

    @_SETTINGS
    @hypothesis.given(_groups())
    def test_no_change_that_relieves_the_slowest_rank_is_better(self, group):
        present, loads, speeds = group
        layer = present.experts[0]
        rows = layer.tolist()
        experts = set(range(present.experts_count))
        if not _is_valid(rows, experts):
            return
        before = _find_times(rows, loads[0].tolist(), speeds.tolist())
        slowest = before.index(max(before))
        best_norm = _find_norm(before)
        for changed in _list_neighbours(rows):
            if not _is_valid(changed, experts):
                continue
            times = _find_times(changed, loads[0].tolist(), speeds.tolist())
            if times[slowest] < before[slowest]:
                best_norm = min(best_norm, _find_norm(times))
        improved = layer.copy()
        for replacement in candidates.find_best_change(
            layer, loads[0], speeds
        ):
            improved[replacement.rank, replacement.slot] = replacement.expert
        self.assertTrue(_is_valid(improved.tolist(), experts))
        after = _find_times(
            improved.tolist(), loads[0].tolist(), speeds.tolist()
        )
        self.assertLessEqual(_find_norm(after), best_norm * (1 + 1e-6) + 1e-9)


class SearchTest(unittest.TestCase):
    """Plans respect their limits and use the moves that pay off."""

    @_SETTINGS
    @hypothesis.given(
        _groups(layers=2),
        strategies.sampled_from([0.0, 0.05, 5.0]),
        strategies.integers(0, 4),
        strategies.integers(0, 2),
    )
    def test_plans_respect_their_limits_and_state_correct_figures(
        self, group, slowdown, moves_max, rank_moves_max
    ):
        present, loads, speeds = group
        costs = search.MoveCosts(
            slowdown=slowdown,
            store_bytes_per_s=1.0,
            weight_bytes=1,
            loading_max_s=float(moves_max),
            rank_moves_max=rank_moves_max,
            horizon_s=10.0,
        )
        plan = search.run_search(
            search.search_map(present, loads, speeds=speeds, costs=costs)
        )
        moves = maps.count_moves(present, plan.expert_map)
        self.assertEqual(moves.sum(), plan.moves)
        self.assertLessEqual(plan.moves, moves_max)
        self.assertLessEqual(moves.max(), rank_moves_max)
        time = maps.find_step_time(plan.expert_map, loads, speeds)
        self.assertAlmostEqual(time, plan.time_after)
        self.assertLessEqual(plan.time_after, plan.time_before + 1e-9)
        if plan.moves:
            self.assertGreater(plan.saving_s, 0)

    @_SETTINGS
    @hypothesis.given(_groups())
    def test_plans_without_costs_are_as_good_as_any_single_change(self, group):
        present, loads, speeds = group
        rows = present.experts[0].tolist()
        experts = set(range(present.experts_count))
        plan = search.run_search(
            search.search_map(present, loads, speeds=speeds, costs=_NO_COSTS)
        )
        for changed in _list_neighbours(rows):
            if _is_valid(changed, experts):
                times = _find_times(
                    changed, loads[0].tolist(), speeds.tolist()
                )
                # The norm is at most this factor larger than the maximum.
                slack = len(rows) ** (1 / conf.NORM_EXPONENT)
                self.assertLessEqual(
                    plan.time_after, max(times) * slack + 1e-9
                )

    def test_a_gain_below_the_cost_moves_nothing(self):
        present = maps.make_even_map(
            layers=1, ranks=4, slots=2, experts_count=4
        )
        loads = numpy.array([[100.0, 1.0, 1.0, 1.0]])
        for slowdown, expects_moves in ((0.0, True), (1e6, False)):
            costs = search.MoveCosts(slowdown=slowdown)
            plan = search.run_search(
                search.search_map(present, loads, costs=costs)
            )
            self.assertEqual(expects_moves, plan.moves > 0)

    def test_layers_share_one_limit_of_moves(self):
        present = maps.make_even_map(
            layers=4, ranks=4, slots=2, experts_count=4
        )
        loads = numpy.tile([100.0, 1.0, 1.0, 1.0], (4, 1))
        costs = search.MoveCosts(
            store_bytes_per_s=1.0, weight_bytes=1, loading_max_s=3.0
        )
        plan = search.run_search(
            search.search_map(present, loads, costs=costs)
        )
        self.assertIn(plan.moves, (1, 2, 3))

    def test_a_hot_expert_leaves_a_slow_rank(self):
        present = maps.make_even_map(
            layers=1, ranks=8, slots=2, experts_count=8
        )
        loads = numpy.full((1, 8), 10.0)
        speeds = numpy.ones(8)
        speeds[3] = 0.5
        plan = search.run_search(
            search.search_map(present, loads, speeds=speeds, costs=_NO_COSTS)
        )
        times = maps.find_rank_times(
            plan.expert_map.experts[0], loads[0], speeds
        )
        self.assertLess(plan.time_after, plan.time_before)
        self.assertLess(times[3], 20.0)
