"""Test map changes under every schedule of small groups and seeded ones."""

import dataclasses
import random
import unittest

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import agent as agents
from savoryyoke.groups.switching import barrier
from tests.groups.switching import world as worlds

_BROKEN = (worlds.Violation, exceptions.BarrierViolated)


def _explore(simulator, start, *, depth):
    """Return the edges between all worlds within ``depth`` actions."""
    edges = {}
    layer = [start]
    for _ in range(depth):
        following = []
        for world in layer:
            if world in edges:
                continue
            edges[world] = [
                simulator.perform(world, action)
                for action in simulator.list_actions(world)
            ]
            following += edges[world]
        layer = following
    return edges


def _all_run(world, digest):
    return all(
        state.active is not None
        and state.active.digest == digest
        and state.generation is not None
        for state in world.engines
    )


def _walk(simulator, world, generator, *, until, limit=20_000):
    """Perform random free actions until ``until`` holds."""
    for _ in range(limit):
        if until(world):
            return world
        world = _perform_any(simulator, world, generator)
    raise AssertionError('the group did not get there')


def _perform_any(simulator, world, generator):
    rank = generator.randrange(len(world.engines))
    actions = list(simulator.list_rank_actions(world, rank))
    if generator.random() < 0.3:
        actions = simulator.list_shared_actions(world)
        # The set of messages has no fixed order.
        actions.sort(key=repr)
    if not actions:
        return world
    return simulator.perform(world, generator.choice(actions))


def _start_offering(*, ranks, faults, proposals=()):
    """Return a world in which every rank offers the first map."""
    simulator = worlds.Simulator()
    world = worlds.make_world(ranks=ranks, proposals=((0, 1),))
    while not all(state.offer for state in world.engines):
        actions = simulator.list_actions(world)
        waiting = [action for action in actions if action[0] != 'contribute']
        world = simulator.perform(world, min(waiting, key=repr))
    return dataclasses.replace(world, faults=faults, proposals=proposals)


def _follow(simulator, world, script):
    """Perform the actions that a script names, as ``order:1``."""
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
    """Every interleaving; a loss is a message that is not yet delivered."""

    def test_two_ranks_without_faults_always_can_finish(self):
        """Close the state space; from each state the change can end."""
        simulator = worlds.Simulator()
        start = worlds.make_world(ranks=2, proposals=((0, 1),))
        edges = _explore(simulator, start, depth=200)
        reverse = {}
        for world, following in edges.items():
            for after in following:
                self.assertIn(after, edges)
                reverse.setdefault(after, []).append(world)
        able = {world for world in edges if _all_run(world, 1)}
        pending = list(able)
        while pending:
            for before in reverse.get(pending.pop(), ()):
                if before not in able:
                    able.add(before)
                    pending.append(before)
        self.assertEqual(len(edges), len(able))

    def test_two_ranks_with_a_fault_at_any_point(self):
        start = worlds.make_world(ranks=2, proposals=((0, 1),), faults=1)
        _explore(worlds.Simulator(), start, depth=11)

    def test_faults_and_the_next_change_around_the_switch(self):
        start = _start_offering(ranks=2, faults=2, proposals=((0, 2),))
        _explore(worlds.Simulator(), start, depth=6)

    def test_the_next_change_while_the_words_are_under_way(self):
        simulator = worlds.Simulator()
        start = _start_offering(ranks=2, faults=1, proposals=((0, 2),))
        start = _follow(simulator, start, 'contribute:0 contribute:1')
        _explore(simulator, start, depth=7)

    def test_three_ranks_around_the_switch(self):
        start = _start_offering(ranks=3, faults=1, proposals=((0, 2),))
        _explore(worlds.Simulator(), start, depth=7)

    def test_two_drivers_with_the_same_order(self):
        start = worlds.make_world(
            ranks=2, drivers_count=2, proposals=((0, 1), (1, 2)), faults=1
        )
        _explore(worlds.Simulator(), start, depth=7)


class _HastyAgent(agents.RankAgent):
    """Overwrite an offered map without waiting for the withdrawal."""

    def _withdraw_if_outdated(self):
        orders = super()._withdraw_if_outdated()
        if orders:
            self._update(phase=agents.AgentPhase.IDLE)
            orders += self._advance()
        return orders


def _follow_rank_0(words):
    """Switch as rank 0 says, whether or not the others are prepared."""
    return next(word.offer for word in words if word.rank == 0)


def _switch_alone(words):
    """Switch if any rank offers, by the word that comes first."""
    offers = [word.offer for word in words if word.offer]
    return offers[0] if offers else None


class MutationTest(unittest.TestCase):
    """The explorations above find protocols that are wrong."""

    def _assert_caught(self, simulator, start, *, depth):
        with self.assertRaises(_BROKEN):
            _explore(simulator, start, depth=depth)

    def test_overwriting_before_the_answer_is_caught(self):
        simulator = worlds.Simulator(agent_class=_HastyAgent)
        start = _start_offering(ranks=2, faults=0, proposals=((0, 2),))
        start = _follow(simulator, start, 'contribute:0 contribute:1')
        self._assert_caught(simulator, start, depth=7)

    def test_overwriting_a_map_that_others_hold_is_caught(self):
        simulator = worlds.Simulator(agent_class=_HastyAgent)
        start = _start_offering(ranks=2, faults=2, proposals=((0, 2),))
        script = (
            'contribute:0 contribute:1 propose:0 deliver:1 order:1 order:1 '
            'complete:0 partition:1 observe:0 deliver:0 order:0 loaded:0'
        )
        world = _follow(simulator, start, script)
        self._assert_caught(simulator, world, depth=4)

    def test_a_switch_without_all_ranks_is_caught(self):
        for choose in (_follow_rank_0, _switch_alone):
            start = worlds.make_world(ranks=2, proposals=((0, 1),))
            simulator = worlds.Simulator(choose=choose)
            self._assert_caught(simulator, start, depth=20)


class RandomScheduleTest(unittest.TestCase):
    """Groups of 64 ranks go on after random faults, and then switch."""

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
            world = _perform_any(simulator, world, generator)
        world = dataclasses.replace(world, faults=0, proposals=((0, 3),))
        world = _walk(
            simulator,
            world,
            generator,
            until=lambda world: not world.proposals,
        )
        for _ in range(100):
            if _all_run(world, 3):
                return
            world = dataclasses.replace(world, faults=1)
            world = simulator.perform(world, ('resend', 0))
            for _ in range(300):
                world = _perform_any(simulator, world, generator)
        self.fail('the change did not end')


class BarrierTest(unittest.TestCase):
    """The pure rules of the collective."""

    def test_words_of_two_steps_are_refused(self):
        words = [
            barrier.StepWord(
                generation=worlds.GENERATION, step=step, rank=step
            )
            for step in (0, 1)
        ]
        with self.assertRaises(exceptions.BarrierViolated):
            barrier.choose_switch(words)

    def test_cold_ranks_take_the_survivors_map(self):
        words = [
            barrier.FormationWord(rank=0, counter=0, nonce=5),
            barrier.FormationWord(
                rank=1, counter=4, nonce=6, held=(worlds.DECLARED,)
            ),
        ]
        formation = barrier.form_group(words, declared=None)
        self.assertEqual((0,), formation.missing_ranks)
        self.assertEqual(worlds.DECLARED, formation.identity)
        self.assertEqual(5, formation.generation.counter)
