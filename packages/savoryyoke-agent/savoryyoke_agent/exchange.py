"""Exchange datagrams between the agents of a group."""

import socket

import anyio

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import group


class Exchange:
    """Own the socket to the other agents.

    ``receive(message)`` is called for each message.
    """

    def __init__(self, *, host, port, receive):
        self._host = host
        self._port = port
        self._receive = receive
        self._socket = None
        self._sending = anyio.Lock()

    async def run(self):
        """Receive until cancelled."""
        async with await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=self._host, local_port=self._port
        ) as self._socket:
            async for packed, (host, _) in self._socket:
                self._take_in(packed, host)

    async def send(self, message, hosts, *, port=None):
        """Send a message to hosts, at the agents' port if not another."""
        if self._socket is None:
            return
        packed = group.encode(message)
        # One task at a time may use the socket.
        async with self._sending:
            for host in hosts:
                await self._send_to(packed, host, port or self._port)

    async def send_spaced(self, message, hosts):
        """Send a large message to hosts, no faster than narrow links bear."""
        if self._socket is None:
            return
        packed = group.encode(message)
        sent_bytes = 0
        for host in hosts:
            async with self._sending:
                await self._send_to(packed, host, self._port)
            sent_bytes += len(packed)
            if sent_bytes > conf.BURST_BYTES:
                await anyio.sleep(len(packed) / conf.SPACED_BYTES_PER_S)

    async def _send_to(self, packed, host, port):
        try:
            await self._socket.sendto(packed, host, port)
        except OSError as error:
            logs.write_event(
                'datagram_not_sent',
                level='warning',
                host=host,
                reason=str(error),
            )

    def _take_in(self, packed, host):
        try:
            message = group.decode(packed)
        except wire_exceptions.WireError as error:
            logs.write_event(
                'datagram_refused',
                level='warning',
                host=host,
                reason=str(error),
            )
            return
        self._receive(message)
