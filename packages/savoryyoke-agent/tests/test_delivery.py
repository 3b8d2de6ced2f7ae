"""Test the delivery of maps to the ranks of a large group."""

import dataclasses
import types
import unittest

import anyio

from savoryyoke.groups.balancing import contents
from savoryyoke.groups.rollout import models

from savoryyoke_agent import conf
from savoryyoke_agent import delivery
from savoryyoke_wire import group

RANKS = 63
VERSION = 70000
EXPERT_MAP = models.ExpertMap(
    version=VERSION, experts=(tuple((rank,) for rank in range(RANKS)),)
)
CONTENT = group.MapContent(group='g', expert_map=EXPERT_MAP)


class Exchange:
    """Record messages instead of sending them."""

    def __init__(self):
        self.sent = []

    async def send_paced(self, message, hosts):
        """Record a message and its hosts."""
        self.sent.append((message, list(hosts)))


def make_host(rank):
    """Return the host of a rank."""
    return f'10.0.0.{rank}'


class MapDeliveryTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_s = 0.0
        self.exchange = Exchange()
        self.contents = contents.MapContents()

    def build(self, rank):
        """Return the ``MapDelivery`` of a rank."""
        hosts_by_rank = {rank: make_host(rank) for rank in range(RANKS)}
        return delivery.MapDelivery(
            own_host=make_host(rank),
            exchange=self.exchange,
            membership=types.SimpleNamespace(
                members=types.SimpleNamespace(hosts_by_rank=hosts_by_rank)
            ),
            contents=self.contents,
            clock=lambda: self.now_s,
        )

    async def run_for(self, map_delivery, seconds):
        """Run a ``MapDelivery`` for a number of seconds."""
        with anyio.move_on_after(seconds):
            await map_delivery.run()

    def build_state(self, rank):
        """Return the state of a rank's engine."""
        return models.EngineState(
            group='g',
            epoch=1,
            rank=rank,
            ranks=RANKS,
            is_open=True,
            step=1,
            active=0,
            prepared=None,
            armed=None,
            held=None,
        )

    def build_directive(self):
        """Return a directive that names the map."""
        return models.Directive(
            group='g',
            epoch=1,
            term=models.Term(number=1, rank=0),
            sequence=1,
            leader_host=make_host(10),
            phase=models.Phase.PREPARE,
            version=VERSION,
            expert_map=EXPERT_MAP,
        )

    async def test_leader_sends_a_map_once_to_the_first_rank_of_each_block(
        self,
    ):
        leader_delivery = self.build(10)
        for _ in range(2):
            leader_delivery.send_map(
                self.build_directive(), self.build_state(10)
            )
        await self.run_for(leader_delivery, 0.01)
        ((message, hosts),) = self.exchange.sent
        # The map in use is unknown to this leader.
        self.assertEqual(CONTENT, message)
        self.assertEqual([make_host(rank) for rank in range(0, 63, 7)], hosts)

    async def test_leader_sends_only_the_changes_to_the_map_in_use(self):
        experts_by_rank = EXPERT_MAP.experts[0]
        self.contents.add_map(
            models.ExpertMap(
                version=VERSION - 1, experts=((*experts_by_rank[:-1], (5,)),)
            )
        )
        leader_delivery = self.build(10)
        leader_delivery.send_map(
            self.build_directive(),
            dataclasses.replace(self.build_state(10), active=VERSION - 1),
        )
        await self.run_for(leader_delivery, 0.01)
        ((message, hosts),) = self.exchange.sent
        self.assertEqual(
            ({RANKS - 1: experts_by_rank[-1]},),
            message.change.experts_by_rank_by_set,
        )
        self.assertEqual([make_host(rank) for rank in range(0, 63, 7)], hosts)

    async def test_first_rank_of_a_block_forwards_a_map(self):
        first_rank_delivery = self.build(7)
        first_rank_delivery.forward_map(CONTENT, self.build_state(7))
        await self.run_for(first_rank_delivery, 0.01)
        ((_, hosts),) = self.exchange.sent
        self.assertEqual([make_host(rank) for rank in range(8, 14)], hosts)

    async def test_received_map_is_stored_and_forwarded_once(self):
        first_rank_delivery = self.build(7)
        state = self.build_state(7)
        self.assertEqual(
            EXPERT_MAP, first_rank_delivery.receive(CONTENT, state)
        )
        self.assertIsNone(first_rank_delivery.receive(CONTENT, state))
        await self.run_for(first_rank_delivery, 0.01)
        self.assertEqual(1, len(self.exchange.sent))
        self.assertEqual(EXPERT_MAP, self.contents.find_map(VERSION))

    async def test_received_changes_are_applied_to_the_map_in_use(self):
        message = group.MapChangeContent(
            group='g',
            change=models.MapChange(
                version=VERSION + 1,
                base_version=VERSION,
                experts_by_rank_by_set=({3: (4, 5)},),
            ),
        )
        first_rank_delivery = self.build(7)
        state = self.build_state(7)
        self.assertIsNone(first_rank_delivery.receive(message, state))
        self.contents.add_map(EXPERT_MAP)
        changed_map = first_rank_delivery.receive(message, state)
        self.assertEqual((4, 5), changed_map.experts[0][3])
        self.assertEqual((4,), changed_map.experts[0][4])
        await self.run_for(first_rank_delivery, 0.01)
        ((sent, _),) = self.exchange.sent
        self.assertEqual(message, sent)

    async def test_maps_of_other_groups_are_ignored(self):
        other = dataclasses.replace(CONTENT, group='h')
        member_delivery = self.build(8)
        for state in (None, self.build_state(8)):
            self.assertIsNone(member_delivery.receive(other, state))
        self.assertIsNone(self.contents.find_map(VERSION))

    async def test_other_ranks_forward_nothing(self):
        member_delivery = self.build(8)
        member_delivery.forward_map(CONTENT, self.build_state(8))
        await self.run_for(member_delivery, 0.01)
        self.assertEqual([], self.exchange.sent)

    async def test_rank_requests_a_map_that_is_overdue(self):
        member_delivery = self.build(8)
        directive, state = self.build_directive(), self.build_state(8)
        for self.now_s in (0.0, conf.MAP_REQUEST_DELAY_LARGE_S / 2):
            member_delivery.request_overdue_map(directive, state)
        await self.run_for(member_delivery, 0.01)
        self.assertEqual([], self.exchange.sent)
        self.now_s = conf.MAP_REQUEST_DELAY_LARGE_S
        member_delivery.request_overdue_map(directive, state)
        await self.run_for(member_delivery, 0.01)
        request = group.MapRequest(
            group='g', version=VERSION, host=make_host(8)
        )
        self.assertEqual([(request, [make_host(10)])], self.exchange.sent)

    async def test_first_rank_of_a_block_requests_a_map_before_the_others(
        self,
    ):
        requesting_ranks = []
        for rank in (7, 8):
            self.exchange.sent.clear()
            rank_delivery = self.build(rank)
            for self.now_s in (0.0, conf.MAP_REQUEST_DELAY_HEAD_S):
                rank_delivery.request_overdue_map(
                    self.build_directive(), self.build_state(rank)
                )
            await self.run_for(rank_delivery, 0.01)
            if self.exchange.sent:
                requesting_ranks.append(rank)
        self.assertEqual([7], requesting_ranks)

    async def test_answers_are_paced_and_not_repeated(self):
        leader_delivery = self.build(10)
        self.contents.add_map(EXPERT_MAP)
        for _ in range(2):
            for rank in range(4):
                leader_delivery.answer_request(
                    group.MapRequest(
                        group='g', version=VERSION, host=make_host(rank)
                    )
                )
        await self.run_for(leader_delivery, 1.5 * conf.MAP_ANSWER_INTERVAL_S)
        self.assertIn(len(self.exchange.sent), (1, 2))
        await self.run_for(leader_delivery, 6 * conf.MAP_ANSWER_INTERVAL_S)
        self.assertEqual(
            [[make_host(rank)] for rank in range(4)],
            [hosts for _, hosts in self.exchange.sent],
        )

    async def test_unknown_map_is_not_answered(self):
        leader_delivery = self.build(10)
        leader_delivery.answer_request(
            group.MapRequest(group='g', version=VERSION, host=make_host(1))
        )
        await self.run_for(leader_delivery, 0.01)
        self.assertEqual([], self.exchange.sent)
