"""Test how maps reach the ranks of a large group."""

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
    """Note what is sent in place of sending it."""

    def __init__(self):
        self.sent = []

    async def send_spaced(self, message, hosts):
        """Note a message and its hosts."""
        self.sent.append((message, list(hosts)))


def host_of(rank):
    """Return the host of a rank."""
    return f'10.0.0.{rank}'


class MapDeliveryTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_s = 0.0
        self.exchange = Exchange()
        self.contents = contents.MapContents()

    def build(self, rank):
        """Return the delivery of a rank."""
        hosts_by_rank = {rank: host_of(rank) for rank in range(RANKS)}
        return delivery.MapDelivery(
            own_host=host_of(rank),
            exchange=self.exchange,
            membership=types.SimpleNamespace(
                known=types.SimpleNamespace(hosts_by_rank=hosts_by_rank)
            ),
            contents=self.contents,
            clock=lambda: self.now_s,
        )

    async def run_for(self, delivered, seconds):
        """Let a delivery send what is queued for a time."""
        with anyio.move_on_after(seconds):
            await delivered.run()

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
            leader_host=host_of(10),
            phase=models.Phase.PREPARE,
            version=VERSION,
            expert_map=EXPERT_MAP,
        )

    async def test_leader_sends_a_map_to_the_heads_once(self):
        leading = self.build(10)
        for _ in range(2):
            leading.announce(self.build_directive(), self.build_state(10))
        await self.run_for(leading, 0.01)
        ((message, hosts),) = self.exchange.sent
        self.assertEqual(CONTENT, message)
        self.assertEqual([host_of(rank) for rank in range(0, 63, 7)], hosts)

    async def test_head_passes_a_map_on_to_its_block(self):
        head = self.build(7)
        head.pass_on(CONTENT, self.build_state(7))
        await self.run_for(head, 0.01)
        ((_, hosts),) = self.exchange.sent
        self.assertEqual([host_of(rank) for rank in range(8, 14)], hosts)

    async def test_others_pass_nothing_on(self):
        other = self.build(8)
        other.pass_on(CONTENT, self.build_state(8))
        await self.run_for(other, 0.01)
        self.assertEqual([], self.exchange.sent)

    async def test_rank_asks_for_a_map_that_is_overdue(self):
        other = self.build(8)
        directive, state = self.build_directive(), self.build_state(8)
        for self.now_s in (0.0, conf.BLOCK_MAP_PATIENCE_S / 2):
            other.note_missing(directive, state)
        await self.run_for(other, 0.01)
        self.assertEqual([], self.exchange.sent)
        self.now_s = conf.BLOCK_MAP_PATIENCE_S
        other.note_missing(directive, state)
        await self.run_for(other, 0.01)
        request = group.MapRequest(group='g', version=VERSION, host=host_of(8))
        self.assertEqual([(request, [host_of(10)])], self.exchange.sent)

    async def test_answers_are_paced_and_not_doubled(self):
        leading = self.build(10)
        self.contents.add_map(EXPERT_MAP)
        for _ in range(2):
            for rank in range(4):
                leading.answer(
                    group.MapRequest(
                        group='g', version=VERSION, host=host_of(rank)
                    )
                )
        await self.run_for(leading, 1.5 * conf.MAP_PAUSE_S)
        self.assertIn(len(self.exchange.sent), (1, 2))
        await self.run_for(leading, 6 * conf.MAP_PAUSE_S)
        self.assertEqual(
            [[host_of(rank)] for rank in range(4)],
            [hosts for _, hosts in self.exchange.sent],
        )

    async def test_unknown_map_is_not_answered(self):
        leading = self.build(10)
        leading.answer(
            group.MapRequest(group='g', version=VERSION, host=host_of(1))
        )
        await self.run_for(leading, 0.01)
        self.assertEqual([], self.exchange.sent)
