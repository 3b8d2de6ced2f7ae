"""Test the sending of large messages."""

import unittest
from unittest import mock

import anyio

from savoryyoke.groups.rollout import models

from savoryyoke_agent import conf
from savoryyoke_agent import exchange
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import group

LINK_BYTES_PER_S = 500_000
# The queue of a narrow link; it drops datagrams that exceed it.
LINK_QUEUE_BYTES = 25_000
# Headers of a datagram.
HEADER_BYTES = 28


class Link:
    """Simulate a socket on a narrow link with a queue of limited size."""

    def __init__(self):
        self.now_s = 0.0
        self.dropped = 0
        self.sent = 0
        self._queued_bytes = 0.0
        self._last_sent_s = 0.0

    async def send_when_writable(self, packed, address):
        """Queue a datagram, or drop it if the queue is full."""
        drained_bytes = (self.now_s - self._last_sent_s) * LINK_BYTES_PER_S
        self._queued_bytes = max(self._queued_bytes - drained_bytes, 0.0)
        self._last_sent_s = self.now_s
        size_bytes = len(packed) + HEADER_BYTES
        if self._queued_bytes + size_bytes > LINK_QUEUE_BYTES:
            self.dropped += 1
            return
        self._queued_bytes += size_bytes
        self.sent += 1

    async def sleep(self, pause_s):
        """Advance the time."""
        self.now_s += pause_s


class ExchangeCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.link = Link()
        self.received = []
        self.exchange = exchange.Exchange(
            host='127.0.0.1',
            port=1,
            link_bytes_per_s=LINK_BYTES_PER_S,
            receive=self.received.append,
            clock=lambda: self.link.now_s,
        )
        self.exchange._socket = self.link
        self.enterContext(mock.patch.object(anyio, 'sleep', self.link.sleep))

    def build_map(self, *, sets, ranks, slots):
        """Return a message with a map of this shape."""
        experts = tuple(
            tuple(
                tuple((31 * rank + slot) % 252 for slot in range(slots))
                for rank in range(ranks)
            )
            for _ in range(sets)
        )
        return group.MapContent(
            group='g',
            expert_map=models.ExpertMap(version=70000, experts=experts),
        )


class SpacedTests(ExchangeCase):
    async def test_maps_of_a_large_group_pass_a_narrow_link(self):
        message = self.build_map(sets=8, ranks=63, slots=5)
        hosts = [f'10.0.0.{number}' for number in range(15)]
        await self.exchange.send_paced(message, hosts)
        self.assertEqual((0, 15), (self.link.dropped, self.link.sent))
        self.assertLess(self.link.now_s, conf.MAP_REQUEST_DELAY_LARGE_S / 2)

    async def test_unpaced_maps_overflow_a_narrow_link(self):
        message = self.build_map(sets=8, ranks=63, slots=5)
        hosts = [f'10.0.0.{number}' for number in range(15)]
        await self.exchange.send(message, hosts)
        self.assertGreater(self.link.dropped, 5)

    async def test_maps_of_a_small_group_are_sent_at_once(self):
        message = self.build_map(sets=4, ranks=12, slots=8)
        hosts = [f'10.0.0.{number}' for number in range(11)]
        await self.exchange.send_paced(message, hosts)
        self.assertEqual(0.0, self.link.now_s)
        self.assertEqual(0, self.link.dropped)


class NewMapTests(ExchangeCase):
    """Send a new map right after the directive that names it.

    The directive goes to all ranks and fills a part of the link's queue.
    """

    RANKS = 63
    SETS = 8
    # Changed ranks in each set: a new map takes some 250 copies in all.
    CHANGED_RANKS = 30

    async def send_after_directive(self, message):
        directive = models.Directive(
            group='some-group',
            epoch=2,
            term=models.Term(number=3, rank=1),
            sequence=9,
            leader_host='10.0.0.1',
            phase=models.Phase.PREPARE,
            version=70000,
        )
        hosts = [f'10.0.0.{number}' for number in range(self.RANKS - 1)]
        await self.exchange.send(directive, hosts)
        await self.exchange.send_paced(message, hosts[:14])

    async def test_changes_are_not_dropped(self):
        experts_by_rank_by_set = tuple(
            {
                2 * number: tuple(
                    (31 * number + slot) % 252 for slot in range(5)
                )
                for number in range(self.CHANGED_RANKS)
            }
            for _ in range(self.SETS)
        )
        message = group.MapChangeContent(
            group='some-group',
            change=models.MapChange(
                version=70000,
                base_version=60000,
                experts_by_rank_by_set=experts_by_rank_by_set,
            ),
        )
        await self.send_after_directive(message)
        self.assertEqual(0, self.link.dropped)

    async def test_whole_maps_are_not_dropped(self):
        message = self.build_map(sets=8, ranks=63, slots=5)
        await self.send_after_directive(message)
        self.assertEqual(0, self.link.dropped)


class LargeGroupTests(ExchangeCase):
    """Test messages that exceed a datagram."""

    async def deliver(self, message):
        """Send a message and receive its datagrams in reverse order."""
        sent = []

        async def send(packed, address):
            sent.append(packed)

        with mock.patch.object(self.link, 'send_when_writable', send):
            await self.exchange.send(message, ['10.0.0.1'])
        for packed in reversed(sent):
            self.exchange._receive_datagram(packed, '10.0.0.9')
        return sent

    async def test_messages_are_reassembled(self):
        message = self.build_map(sets=16, ranks=129, slots=3)
        sent = await self.deliver(message)
        self.assertGreater(len(sent), 1)
        self.assertEqual([message], self.received)

    async def test_datagrams_of_large_messages_stay_below_the_limit(self):
        for shape in ((16, 1300, 8), (64, 129, 16)):
            sets, ranks, slots = shape
            with self.subTest(shape=shape):
                message = self.build_map(sets=sets, ranks=ranks, slots=slots)
                sent = await self.deliver(message)
                longest = max(len(packed) for packed in sent)
                self.assertLessEqual(longest, wire_conf.DATAGRAM_LIMIT_BYTES)
                self.assertEqual(message, self.received.pop())

    async def test_message_beyond_the_limit_is_dropped(self):
        message = self.build_map(sets=64, ranks=1300, slots=8)
        self.assertEqual([], await self.deliver(message))
        await self.deliver(group.MapRequest(group='g', version=1, host='h'))
        self.assertEqual(1, len(self.received))

    async def test_message_that_fails_does_not_end_the_process(self):
        def fail(message):
            raise ValueError('invalid decision')

        self.exchange._receive = fail
        with self.assertLogs('absl', 'ERROR') as written:
            await self.deliver(
                group.MapRequest(group='g', version=1, host='h')
            )
        self.assertIn('event=message_failed', written.output[0])
