"""Test the agents of a group with real datagrams."""

import functools
import unittest
from unittest import mock

import anyio

from savoryyoke.groups.rollout import blocks
from savoryyoke.groups.rollout import conf
from savoryyoke.groups.rollout import models

from tests import support


async def wait_until(condition):
    """Wait until ``condition()`` is true; raise ``TimeoutError`` otherwise."""
    with anyio.fail_after(support.TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.02)


class GroupTests(unittest.TestCase):
    def setUp(self):
        self.daemons = {}

    def run_group(self, scenario, *, ranks=support.RANKS):
        async def main():
            group = support.Group(ranks=ranks)
            port = support.find_port()
            scopes = {}

            async def run(rank):
                daemon = support.build_daemon(
                    group=group, rank=rank, port=port
                )
                self.daemons[rank] = daemon
                with anyio.CancelScope() as scopes[rank]:
                    await daemon.run()
                del self.daemons[rank]

            async with anyio.create_task_group() as tasks:

                def start(rank):
                    tasks.start_soon(run, rank)

                tasks.start_soon(group.run)
                tasks.start_soon(support.stall_copies, port)
                tasks.start_soon(
                    functools.partial(support.serve_members, port, ranks=ranks)
                )
                for rank in range(ranks):
                    start(rank)
                await scenario(group, scopes, start)
                tasks.cancel_scope.cancel()
            self.assertEqual([], group.mixed_passes)

        anyio.run(main)

    def test_maps_follow_demand(self):
        async def scenario(group, scopes, start):
            await wait_until(lambda: all(group.active))
            first_version = group.active[0]
            group.most_chosen_expert = 3
            await wait_until(lambda: min(group.active) > first_version)

        self.run_group(scenario)

    @mock.patch.object(conf, 'SMALL_GROUP_MAX_RANKS', 3)
    def test_maps_follow_demand_through_blocks(self):
        ranks = 5
        self.assertEqual([0, 2, 4], list(blocks.find_heads(ranks)))

        async def scenario(group, scopes, start):
            await wait_until(lambda: all(group.active))
            first_version = group.active[0]
            group.most_chosen_expert = 3
            await wait_until(lambda: min(group.active) > first_version)

        self.run_group(scenario, ranks=ranks)

    def test_maps_follow_demand_after_all_agents_restart(self):
        async def scenario(group, scopes, start):
            await wait_until(lambda: all(group.active))
            for rank in range(support.RANKS):
                scopes[rank].cancel()
            await anyio.sleep(0.1)
            first_version = group.active[0]
            for rank in range(support.RANKS):
                start(rank)
            group.most_chosen_expert = 3
            await wait_until(lambda: min(group.active) > first_version)

        self.run_group(scenario)

    def test_leader_that_stops_leaves_no_hold(self):
        async def scenario(group, scopes, start):
            stopped = []

            def stop(rank):
                self.daemons[rank].stop()
                stopped.append(rank)

            group.on_hold = stop
            await wait_until(lambda: stopped)
            await wait_until(lambda: stopped[0] not in self.daemons)
            self.assertFalse(any(group.held))
            self.assertTrue(all(group.active))

        self.run_group(scenario)

    def test_group_is_released_after_its_leader_freezes_in_a_hold(self):
        async def scenario(group, scopes, start):
            frozen = []

            def freeze(rank):
                if not frozen:
                    frozen.append(rank)
                    group.unreachable_ranks.add(rank)
                    scopes[rank].cancel()

            group.on_hold = freeze
            await wait_until(lambda: frozen)
            await wait_until(lambda: not any(group.held))
            step = group.step
            await wait_until(lambda: group.step > step + 3)
            self.assertEqual([0] * support.RANKS, group.active)

        self.run_group(scenario)

    def test_another_leader_takes_over(self):
        async def scenario(group, scopes, start):
            await wait_until(lambda: all(group.active))
            first_version = group.active[0]
            # The highest rank leads, since it was the last to become a leader.
            scopes[support.RANKS - 1].cancel()
            group.most_chosen_expert = 3
            await anyio.sleep(1.5)
            self.assertEqual([first_version] * support.RANKS, group.active)
            self.assertFalse(any(group.held))

        self.run_group(scenario)


class ReplacedLeaderTests(unittest.TestCase):
    def test_late_directive_of_a_replaced_leader_is_dropped(self):
        async def main():
            group = support.Group(ranks=support.RANKS)
            daemon = support.build_daemon(
                group=group, rank=0, port=support.find_port()
            )
            newer = build_directive(term=models.Term(number=2, rank=1))
            daemon.receive(newer)
            older = build_directive(term=models.Term(number=1, rank=0))
            await daemon.publish(older)

        anyio.run(main)


def build_directive(*, term):
    """Return an idle directive."""
    return models.Directive(
        group='g',
        epoch=1,
        term=term,
        sequence=1,
        leader_host='127.0.1.2',
        phase=models.Phase.IDLE,
    )
