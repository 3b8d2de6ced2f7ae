"""Test the exchange of datagrams with real sockets."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

import anyio

from savoryyoke_edge import datagrams

HOST = '127.0.0.1'
TIMEOUT_S = 10.0
LIMIT_BYTES = 8 * 1024
# The largest datagram of UDP over IPv4.
LARGEST_BYTES = 65_507
DATAGRAMS_PER_READ = 16


class FullSocket(socket.socket):
    """Refuse datagrams as long as ``refusals`` is positive."""

    refusals = 0

    def sendto(self, *arguments):
        if FullSocket.refusals > 0:
            FullSocket.refusals -= 1
            raise BlockingIOError
        return super().sendto(*arguments)


class DatagramSocketCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.received = []
        self.unsent = []
        self.loop_errors = []

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.loop_errors.append(context)
        )

    async def asyncTearDown(self):
        self.assertEqual([], self.loop_errors)

    def open(
        self,
        receive=None,
        *,
        port=0,
        limit_bytes=LIMIT_BYTES,
        datagrams_per_read=DATAGRAMS_PER_READ,
    ):
        return contextlib.closing(
            datagrams.DatagramSocket(
                host=HOST,
                port=port,
                limit_bytes=limit_bytes,
                datagrams_per_read=datagrams_per_read,
                receive=receive or (lambda *args: self.received.append(args)),
                report_unsent=lambda *args: self.unsent.append(args),
            )
        )

    async def wait_received(self, count):
        with anyio.fail_after(TIMEOUT_S):
            while len(self.received) < count:
                await anyio.sleep(0.005)


class ReceivingTests(DatagramSocketCase):
    async def test_datagrams_arrive_whole_and_in_order(self):
        sent = [b'', b'a', bytes(LARGEST_BYTES), b'b' * 8192]
        for datagrams_per_read in (1, DATAGRAMS_PER_READ):
            with self.subTest(datagrams_per_read=datagrams_per_read):
                self.received.clear()
                with self.open(
                    limit_bytes=LARGEST_BYTES,
                    datagrams_per_read=datagrams_per_read,
                ) as opened:
                    for datagram in sent:
                        await opened.send_when_writable(
                            datagram, opened.address
                        )
                    await self.wait_received(len(sent))
                self.assertEqual(
                    [(datagram, HOST) for datagram in sent], self.received
                )
        self.assertEqual([], self.unsent)

    async def test_burst_arrives_in_order(self):
        """Guard against datagrams that stay unread after a full pass."""
        count = 2 * DATAGRAMS_PER_READ + 1
        with self.open() as receiver, self.open() as sender:
            for number in range(count):
                sender.send(b'%d' % number, receiver.address)
            await self.wait_received(count)
            counts = (sender.sent_count, receiver.received_count)
        self.assertEqual(
            [(b'%d' % number, HOST) for number in range(count)], self.received
        )
        self.assertEqual((count, count), counts)

    async def test_other_callbacks_run_during_a_burst(self):
        """Guard against a peer that keeps the event loop busy."""
        counts = []

        def receive(datagram, host):
            self.received.append(datagram)
            if len(self.received) == 1:
                asyncio.get_running_loop().call_soon(
                    lambda: counts.append(len(self.received))
                )

        for datagrams_per_read in (1, DATAGRAMS_PER_READ):
            with self.subTest(datagrams_per_read=datagrams_per_read):
                self.received.clear()
                counts.clear()
                with self.open(
                    receive, datagrams_per_read=datagrams_per_read
                ) as opened:
                    for _ in range(3 * DATAGRAMS_PER_READ):
                        opened.send(b'x', opened.address)
                    await self.wait_received(3 * DATAGRAMS_PER_READ)
                self.assertEqual([datagrams_per_read], counts)

    async def test_datagram_beyond_the_limit_stays_recognizable(self):
        with self.open() as receiver, self.open() as sender:
            sender.send(b'x' * 3 * LIMIT_BYTES, receiver.address)
            await self.wait_received(1)
        self.assertEqual(LIMIT_BYTES + 1, len(self.received[0][0]))

    async def test_error_of_the_recipient_ends_the_exchange(self):
        """Guard against a process that stays deaf after an error.

        The task of the socket is then started again, at the same port. An
        empty socket is told by ``BlockingIOError``, so that a recipient's
        could be taken for it.
        """
        for error in (ValueError, OSError, BlockingIOError):
            with self.subTest(error=error):
                receive = mock.Mock(side_effect=error)
                with anyio.fail_after(TIMEOUT_S):
                    with self.assertRaises(error):
                        with self.open(receive) as opened:
                            port = opened.address[1]
                            opened.send(b'a', opened.address)
                            opened.send(b'a', opened.address)
                            await anyio.sleep(0.02)
                            await opened.wait_for_failure()
                receive.assert_called_once()
                self.received.clear()
                with self.open(port=port) as opened:
                    opened.send(b'b', opened.address)
                    await self.wait_received(1)

    async def test_error_of_a_delayed_callback_ends_the_exchange(self):
        with anyio.fail_after(TIMEOUT_S):
            with self.assertRaises(ValueError):
                with self.open() as opened:
                    opened.call_later(0, mock.Mock(side_effect=ValueError))
                    await opened.wait_for_failure()

    async def test_error_of_the_socket_ends_the_exchange(self):
        """Guard against a broken socket that is read again and again."""

        reads = []

        class BrokenSocket(socket.socket):
            def recvfrom(self, *arguments):
                reads.append(arguments)
                raise OSError

        with mock.patch.object(socket, 'socket', BrokenSocket):
            with anyio.fail_after(TIMEOUT_S):
                with self.assertRaises(OSError):
                    with self.open() as opened:
                        opened.send(b'a', opened.address)
                        await anyio.sleep(0.02)
                        await opened.wait_for_failure()
        self.assertEqual(1, len(reads))

    async def test_recipient_that_closes_the_socket_gets_no_more(self):
        def receive(datagram, host):
            self.received.append(datagram)
            opened.close()

        with self.open(receive) as opened:
            opened.send(b'a', opened.address)
            opened.send(b'b', opened.address)
            await self.wait_received(1)
            await anyio.sleep(0.02)
        self.assertEqual([b'a'], self.received)


class SendingTests(DatagramSocketCase):
    def setUp(self):
        super().setUp()
        FullSocket.refusals = 0

    async def test_closed_socket_sends_nothing(self):
        with self.open() as opened:
            address = opened.address
        with self.assertRaises(anyio.ClosedResourceError):
            await opened.send_when_writable(b'a', address)
        opened.send(b'a', address)
        self.assertEqual([HOST], [host for host, _ in self.unsent])

    async def test_closed_socket_keeps_nothing(self):
        """Guard against datagrams that are lost without a report."""
        FullSocket.refusals = 1
        with mock.patch.object(socket, 'socket', FullSocket):
            with self.open() as opened:
                address = opened.address
                opened.send(b'a', address)
        opened.send(b'b', address)
        self.assertEqual([HOST], [host for host, _ in self.unsent])

    async def test_datagram_that_the_kernel_refuses_ends_no_socket(self):
        with self.open() as opened:
            await opened.send_when_writable(bytes(70_000), opened.address)
            opened.send(bytes(70_000), opened.address)
            await opened.send_when_writable(b'a', opened.address)
            await self.wait_received(1)
        self.assertEqual([(b'a', HOST)], self.received)
        self.assertEqual([HOST, HOST], [host for host, _ in self.unsent])

    async def test_unreachable_address_is_reported(self):
        with self.open() as sender:
            sender.send(b'x', ('255.255.255.255', 9))
        self.assertEqual(
            ['255.255.255.255'], [host for host, _ in self.unsent]
        )

    async def test_recipient_that_does_not_listen_ends_no_socket(self):
        """The kernel may report it at a later call."""
        with self.open() as other:
            other_address = other.address
        with self.open() as opened:
            for _ in range(3):
                await opened.send_when_writable(b'a', other_address)
                await anyio.sleep(0.01)
            await opened.send_when_writable(b'b', opened.address)
            await self.wait_received(1)

    async def test_datagrams_wait_for_room_in_the_buffer(self):
        """Guard against losses when a whole fleet is sent to at once."""
        limit = datagrams.UNSENT_DATAGRAMS_LIMIT
        with self.open() as receiver, self.open() as sender:
            with mock.patch.object(sender, '_try_to_send', return_value=False):
                for number in range(limit + 2):
                    sender.send(b'%d' % number, receiver.address)
            await self.wait_received(limit)
        self.assertEqual(
            [(b'%d' % number, HOST) for number in range(limit)], self.received
        )
        self.assertEqual([HOST, HOST], [host for host, _ in self.unsent])

    async def test_senders_wait_while_the_kernel_accepts_nothing(self):
        """A datagram must be neither dropped nor sent again and again."""
        FullSocket.refusals = 3
        with mock.patch.object(socket, 'socket', FullSocket):
            with self.open() as opened:
                with anyio.fail_after(TIMEOUT_S):
                    async with anyio.create_task_group() as group:
                        for datagram in (b'a', b'b'):
                            group.start_soon(
                                opened.send_when_writable,
                                datagram,
                                opened.address,
                            )
                await self.wait_received(2)
                await anyio.sleep(0.02)
        self.assertEqual(0, FullSocket.refusals)
        self.assertEqual(2, len(self.received))
        self.assertEqual([], self.unsent)

    async def test_kept_datagrams_are_not_overtaken(self):
        FullSocket.refusals = 1
        with mock.patch.object(socket, 'socket', FullSocket):
            with self.open() as opened:
                with anyio.fail_after(TIMEOUT_S):
                    opened.send(b'a', opened.address)
                    opened.send(b'b', opened.address)
                    await opened.send_when_writable(b'c', opened.address)
                await self.wait_received(3)
        self.assertEqual(0, FullSocket.refusals)
        self.assertEqual(
            [b'a', b'b', b'c'], [datagram for datagram, _ in self.received]
        )

    async def test_writable_socket_without_work_is_not_watched(self):
        """Guard against an event loop that a writable socket keeps busy."""
        FullSocket.refusals = 2
        with mock.patch.object(socket, 'socket', FullSocket):
            with self.open() as opened:
                opened.send(b'a', opened.address)
                with anyio.fail_after(TIMEOUT_S):
                    await opened.send_when_writable(b'b', opened.address)
                await self.wait_received(2)
                self.assertFalse(opened._loop.remove_writer(opened._socket))

    async def test_closing_releases_a_waiting_sender(self):
        async def send(opened):
            with self.assertRaises(anyio.ClosedResourceError):
                await opened.send_when_writable(b'a', opened.address)

        FullSocket.refusals = 1_000_000
        with mock.patch.object(socket, 'socket', FullSocket):
            with self.open() as opened:
                with mock.patch.object(opened._loop, 'add_writer'):
                    with anyio.fail_after(TIMEOUT_S):
                        async with anyio.create_task_group() as group:
                            group.start_soon(send, opened)
                            await anyio.sleep(0.02)
                            opened.close()
