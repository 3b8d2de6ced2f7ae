"""Test the sending and receiving of datagrams."""

import socket
import unittest
from unittest import mock

import anyio

from savoryyoke_agent import datagrams
from savoryyoke_fakes.deployment import sockets

HOST = '127.0.1.1'
TIMEOUT_S = 10.0
LARGEST_BYTES = 65_507


class DatagramSocketTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.received = []
        (self.port,) = sockets.find_ports(HOST, 1)

    def receive(self, data, host):
        self.received.append((data, host))

    def open(self, receive=None):
        return datagrams.open_socket(
            host=HOST, port=self.port, receive=receive or self.receive
        )

    async def wait_received(self, count):
        with anyio.fail_after(TIMEOUT_S):
            while len(self.received) < count:
                await anyio.sleep(0.005)

    async def test_datagrams_arrive_whole_and_in_order(self):
        sent = [b'', b'a', bytes(LARGEST_BYTES), b'b' * 8192]
        async with self.open() as opened:
            for data in sent:
                await opened.sendto(data, HOST, self.port)
            await self.wait_received(len(sent))
        self.assertEqual([(data, HOST) for data in sent], self.received)

    async def test_error_of_the_recipient_ends_the_wait(self):
        """The task of the socket is then started again."""

        def fail(data, host):
            raise ValueError('unexpected')

        with anyio.fail_after(TIMEOUT_S):
            with self.assertRaises(ValueError):
                async with self.open(fail) as opened:
                    await opened.sendto(b'a', HOST, self.port)
                    await opened.wait_failed()
        async with self.open() as opened:
            await opened.sendto(b'b', HOST, self.port)
            await self.wait_received(1)

    async def test_closed_socket_sends_nothing(self):
        async with self.open() as opened:
            pass
        with self.assertRaises(anyio.ClosedResourceError):
            await opened.sendto(b'a', HOST, self.port)

    async def test_datagram_that_the_kernel_refuses_ends_no_socket(self):
        async with self.open() as opened:
            await opened.sendto(bytes(70_000), HOST, self.port)
            await opened.sendto(b'a', HOST, self.port)
            await self.wait_received(1)
        self.assertEqual([(b'a', HOST)], self.received)

    async def test_recipient_that_does_not_listen_ends_no_socket(self):
        """The kernel may report it at a later call."""
        (other_port,) = sockets.find_ports(HOST, 1)
        async with self.open() as opened:
            for _ in range(3):
                await opened.sendto(b'a', HOST, other_port)
                await anyio.sleep(0.01)
            await opened.sendto(b'b', HOST, self.port)
            await self.wait_received(1)

    async def test_senders_wait_while_the_kernel_accepts_nothing(self):
        """A datagram must be neither dropped nor sent again and again."""
        refusals = 3

        class FullSocket(socket.socket):
            def sendto(self, *arguments):
                nonlocal refusals
                if refusals:
                    refusals -= 1
                    raise BlockingIOError
                return super().sendto(*arguments)

        with mock.patch.object(socket, 'socket', FullSocket):
            async with self.open() as opened:
                with anyio.fail_after(TIMEOUT_S):
                    async with anyio.create_task_group() as group:
                        for data in (b'a', b'b'):
                            group.start_soon(
                                opened.sendto, data, HOST, self.port
                            )
                await self.wait_received(2)
        self.assertEqual(0, refusals)
        self.assertEqual(2, len(self.received))

    async def test_closing_releases_a_waiting_sender(self):
        class FullSocket(socket.socket):
            def sendto(self, *arguments):
                raise BlockingIOError

        async def send(opened):
            with self.assertRaises(anyio.ClosedResourceError):
                await opened.sendto(b'a', HOST, self.port)

        with mock.patch.object(socket, 'socket', FullSocket):
            async with self.open() as opened:
                with mock.patch.object(opened._loop, 'add_writer'):
                    with anyio.fail_after(TIMEOUT_S):
                        async with anyio.create_task_group() as group:
                            group.start_soon(send, opened)
                            await anyio.sleep(0.02)
                            opened.close()
