"""Test map changes under all schedules of small groups and random ones."""

import dataclasses
import random
import unittest

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import agent as agents
from savoryyoke.groups.switching import barrier
from tests.groups.switching import world as worlds

_PROTOCOL_ERRORS = (worlds.Violation, exceptions.BarrierViolated)


def _explore(simulator, start, *, depth):
    """Return the successors of each world within ``depth`` actions."""
    edges = {}
    current_worlds = [start]
    for _ in range(depth):
        next_worlds = []
        for world in current_worlds:
            if world in edges:
                continue
            edges[world] = [
                simulator.perform(world, action)
                for action in simulator.list_actions(world)
            ]
            next_worlds += edges[world]
        current_worlds = next_worlds
    return edges


def _all_use_map(world, digest):
    return all(
        state.active is not None
        and state.active.digest == digest
        and state.generation is not None
        for state in world.engines
    )


def _run_until(simulator, world, generator, *, condition, limit=20_000):
    """Perform random actions until ``condition`` holds."""
    for _ in range(limit):
        if condition(world):
            return world
        world = _perform_random_action(simulator, world, generator)
    raise AssertionError('the condition was not met within the limit')


def _perform_random_action(simulator, world, generator):
    rank = generator.randrange(len(world.engines))
    actions = list(simulator.list_rank_actions(world, rank))
    if generator.random() < 0.3:
        actions = simulator.list_shared_actions(world)
        # Sets have no fixed order, so sort for the same choice on each run.
        actions.sort(key=repr)
    if not actions:
        return world
    return simulator.perform(world, generator.choice(actions))


def _start_offering(*, ranks, faults, proposals=()):
    """Return a world in which every rank offers the map with digest 1."""
    simulator = worlds.Simulator()
    world = worlds.make_world(ranks=ranks, proposals=((0, 1),))
    while not all(state.offer for state in world.engines):
        actions = simulator.list_actions(world)
        waiting = [action for action in actions if action[0] != 'contribute']
        world = simulator.perform(world, min(waiting, key=repr))
    return dataclasses.replace(world, faults=faults, proposals=proposals)


def _run_script(simulator, world, script):
    """Perform the actions of a script of ``action:rank`` items."""
    for step in script.split():
        name, rank = step.split(':')
        actions = simulator.list_actions(world)
        (action,) = [
            action
            for action in actions
            if action[0] == name and _find_rank(action) == int(rank)
        ]
        world = simulator.perform(world, action)
    return world


def _find_rank(action):
    if action[0] == 'deliver':
        return action[1][1] if action[1][0] == 'agent' else None
    return action[1]


class ExhaustiveScheduleTest(unittest.TestCase):
    """Test all interleavings; a lost message is one never delivered."""

    def test_two_ranks_without_faults_always_can_finish(self):
        """Check that the change can end from each reachable state."""
        simulator = worlds.Simulator()
        start = worlds.make_world(ranks=2, proposals=((0, 1),))
        edges = _explore(simulator, start, depth=200)
        predecessors = {}
        for world, next_worlds in edges.items():
            for successor in next_worlds:
                self.assertIn(successor, edges)
                predecessors.setdefault(successor, []).append(world)
        finishing_worlds = {world for world in edges if _all_use_map(world, 1)}
        pending = list(finishing_worlds)
        while pending:
            for predecessor in predecessors.get(pending.pop(), ()):
                if predecessor not in finishing_worlds:
                    finishing_worlds.add(predecessor)
                    pending.append(predecessor)
        self.assertEqual(len(edges), len(finishing_worlds))

    def test_two_ranks_with_a_fault_at_any_point(self):
        start = worlds.make_world(ranks=2, proposals=((0, 1),), faults=1)
        _explore(worlds.Simulator(), start, depth=11)

    def test_faults_and_the_next_change_around_the_switch(self):
        start = _start_offering(ranks=2, faults=2, proposals=((0, 2),))
        _explore(worlds.Simulator(), start, depth=6)

    def test_the_next_change_while_the_contributions_are_exchanged(self):
        simulator = worlds.Simulator()
        start = _start_offering(ranks=2, faults=1, proposals=((0, 2),))
        start = _run_script(simulator, start, 'contribute:0 contribute:1')
        _explore(simulator, start, depth=7)

    def test_three_ranks_around_the_switch(self):
        start = _start_offering(ranks=3, faults=1, proposals=((0, 2),))
        _explore(worlds.Simulator(), start, depth=7)

    def test_two_drivers_with_the_same_order(self):
        start = worlds.make_world(
            ranks=2, drivers_count=2, proposals=((0, 1), (1, 2)), faults=1
        )
        _explore(worlds.Simulator(), start, depth=7)


class _EarlyOverwriteAgent(agents.RankAgent):
    """Overwrite an offered map before the engine answers the withdrawal."""

    def _withdraw_if_outdated(self):
        orders = super()._withdraw_if_outdated()
        if orders:
            self._update(phase=agents.AgentPhase.IDLE)
            orders += self._advance()
        return orders


def _follow_rank_0(contributions):
    """Switch to rank 0's offer even if the other ranks don't offer it."""
    return next(
        contribution.offer
        for contribution in contributions
        if contribution.rank == 0
    )


def _switch_without_agreement(contributions):
    """Switch to the first offer, even if other ranks don't offer the map."""
    offers = [
        contribution.offer
        for contribution in contributions
        if contribution.offer
    ]
    return offers[0] if offers else None


class MutationTest(unittest.TestCase):
    """Check that the explorations above detect faulty protocols."""

    def _assert_caught(self, simulator, start, *, depth):
        with self.assertRaises(_PROTOCOL_ERRORS):
            _explore(simulator, start, depth=depth)

    def test_overwriting_before_the_answer_is_caught(self):
        simulator = worlds.Simulator(agent_class=_EarlyOverwriteAgent)
        start = _start_offering(ranks=2, faults=0, proposals=((0, 2),))
        start = _run_script(simulator, start, 'contribute:0 contribute:1')
        self._assert_caught(simulator, start, depth=7)

    def test_overwriting_a_map_that_others_hold_is_caught(self):
        simulator = worlds.Simulator(agent_class=_EarlyOverwriteAgent)
        start = _start_offering(ranks=2, faults=2, proposals=((0, 2),))
        script = (
            'contribute:0 contribute:1 propose:0 deliver:1 order:1 order:1 '
            'complete:0 partition:1 observe:0 deliver:0 order:0 loaded:0'
        )
        world = _run_script(simulator, start, script)
        self._assert_caught(simulator, world, depth=4)

    def test_a_switch_without_all_ranks_is_caught(self):
        for choose_switch in (_follow_rank_0, _switch_without_agreement):
            start = worlds.make_world(ranks=2, proposals=((0, 1),))
            simulator = worlds.Simulator(choose_switch=choose_switch)
            self._assert_caught(simulator, start, depth=20)


class RandomScheduleTest(unittest.TestCase):
    """Check that groups of 64 ranks can switch after random faults."""

    def test_seeded_schedules(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self._run(random.Random(seed))

    def _run(self, generator):
        simulator = worlds.Simulator()
        world = worlds.make_world(
            ranks=64, drivers_count=2, proposals=((0, 1), (1, 2)), faults=20
        )
        for _ in range(4000):
            world = _perform_random_action(simulator, world, generator)
        world = dataclasses.replace(world, faults=0, proposals=((0, 3),))
        world = _run_until(
            simulator,
            world,
            generator,
            condition=lambda world: not world.proposals,
        )
        for _ in range(100):
            if _all_use_map(world, 3):
                return
            world = dataclasses.replace(world, faults=1)
            world = simulator.perform(world, ('resend', 0))
            for _ in range(300):
                world = _perform_random_action(simulator, world, generator)
        self.fail('the change did not end')


class BarrierTest(unittest.TestCase):
    """Test the functions that evaluate a collective."""

    def test_contributions_of_two_steps_are_refused(self):
        contributions = [
            barrier.StepContribution(
                generation=worlds.GENERATION, step=step, rank=step
            )
            for step in (0, 1)
        ]
        with self.assertRaises(exceptions.BarrierViolated):
            barrier.choose_switch(contributions)

    def test_restarted_ranks_load_the_map_of_the_surviving_ranks(self):
        contributions = [
            barrier.FormationContribution(rank=0, counter=0, nonce=5),
            barrier.FormationContribution(
                rank=1, counter=4, nonce=6, held_maps=(worlds.DECLARED,)
            ),
        ]
        formation = barrier.form_group(contributions, declared=None)
        self.assertEqual((0,), formation.missing_ranks)
        self.assertEqual(worlds.DECLARED, formation.identity)
        self.assertEqual(5, formation.generation.counter)
