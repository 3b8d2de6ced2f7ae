"""Test the socket for heartbeats with real sockets."""

import contextlib
import unittest
from unittest import mock

import anyio

from savoryyoke_gateway import conf
from savoryyoke_gateway import datagrams
from savoryyoke_wire import conf as wire_conf

HOST = '127.0.0.1'
TIMEOUT_S = 5.0


class DatagramSocketTests(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.unsent = []

    def open(self, receive=None):
        return contextlib.closing(
            datagrams.DatagramSocket(
                host=HOST,
                port=0,
                receive=receive or (lambda *args: self.received.append(args)),
                report_unsent=lambda *args: self.unsent.append(args),
            )
        )

    async def wait_for(self, count):
        with anyio.fail_after(TIMEOUT_S):
            while len(self.received) < count:
                await anyio.sleep(0.01)

    def test_burst_arrives_in_order(self):
        """Guard against datagrams that stay unread after a full pass."""
        count = 2 * conf.DATAGRAMS_PER_READ + 1

        async def run():
            with self.open() as receiver, self.open() as sender:
                for number in range(count):
                    sender.send(b'%d' % number, receiver.address)
                await self.wait_for(count)

        anyio.run(run)
        self.assertEqual(
            [(b'%d' % number, HOST) for number in range(count)], self.received
        )

    def test_datagram_beyond_the_limit_stays_recognizable(self):
        limit = wire_conf.DATAGRAM_LIMIT_BYTES

        async def run():
            with self.open() as receiver, self.open() as sender:
                sender.send(b'x' * 3 * limit, receiver.address)
                await self.wait_for(1)

        anyio.run(run)
        self.assertGreater(len(self.received[0][0]), limit)

    def test_error_of_the_recipient_ends_the_exchange(self):
        """Guard against an entry that stays deaf after an error."""

        def fail(datagram, host):
            raise ValueError

        async def run():
            with self.open(fail) as receiver, self.open() as sender:
                sender.send(b'x', receiver.address)
                with anyio.fail_after(TIMEOUT_S):
                    await receiver.wait_for_failure()

        with self.assertRaises(ValueError):
            anyio.run(run)

    def test_unreachable_address_is_reported(self):
        async def run():
            with self.open() as sender:
                sender.send(b'x', ('255.255.255.255', 9))

        anyio.run(run)
        self.assertEqual(
            ['255.255.255.255'], [host for host, _ in self.unsent]
        )

    def test_datagrams_wait_for_room_in_the_buffer(self):
        """Guard against losses when a whole fleet is sent to at once."""

        async def run():
            with self.open() as receiver, self.open() as sender:
                with mock.patch.object(
                    sender, '_try_to_send', return_value=False
                ):
                    for _ in range(conf.UNSENT_DATAGRAMS_LIMIT + 2):
                        sender.send(b'x', receiver.address)
                await self.wait_for(conf.UNSENT_DATAGRAMS_LIMIT)

        anyio.run(run)
        self.assertEqual([HOST, HOST], [host for host, _ in self.unsent])
