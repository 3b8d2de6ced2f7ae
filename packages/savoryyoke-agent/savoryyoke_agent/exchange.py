"""Exchange datagrams between the agents of a group."""

import itertools
import socket

import anyio

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import assembly
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import group


class Exchange:
    """Own the socket to the other agents.

    ``receive(message)`` is called for each message. One that can't be sent
    or taken in is logged and dropped: agents repeat what matters.
    ``link_bytes_per_s`` is what the VM's link carries.
    """

    def __init__(self, *, host, port, link_bytes_per_s, receive, clock):
        self._host = host
        self._port = port
        self._spaced_bytes_per_s = conf.SPACED_LINK_SHARE * link_bytes_per_s
        self._receive = receive
        self._clock = clock
        self._assembler = assembly.Assembler()
        self._message_ids = itertools.count(int(clock() * 1000))
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
        datagrams = self._encode(message)
        # One task at a time may use the socket.
        async with self._sending:
            for host in hosts:
                for packed in datagrams:
                    await self._send_to(packed, host, port or self._port)

    async def send_spaced(self, message, hosts):
        """Send a large message to hosts, no faster than narrow links bear."""
        if self._socket is None:
            return
        datagrams = self._encode(message)
        sent_bytes = 0
        for host, packed in itertools.product(hosts, datagrams):
            async with self._sending:
                await self._send_to(packed, host, self._port)
            sent_bytes += len(packed)
            if sent_bytes > conf.BURST_BYTES:
                await anyio.sleep(len(packed) / self._spaced_bytes_per_s)

    def _encode(self, message):
        """Return the datagrams of a message; none if it is too large."""
        try:
            return group.encode_datagrams(
                message, message_id=next(self._message_ids)
            )
        except wire_exceptions.LimitExceeded as error:
            logs.write_event(
                'message_not_sent',
                level='error',
                message=type(message).__name__,
                reason=str(error),
            )
            return ()

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
            message = self._decode(packed, host)
        except wire_exceptions.WireError as error:
            logs.write_event(
                'datagram_refused',
                level='warning',
                host=host,
                reason=str(error),
            )
            return
        if message is None:
            return
        try:
            self._receive(message)
        except Exception as error:
            # One message must not end the process.
            logs.write_exception(
                'message_failed',
                error,
                host=host,
                message=type(message).__name__,
            )

    def _decode(self, packed, host):
        """Return the message that a datagram completes, or None."""
        message = group.decode(packed)
        if not isinstance(message, group.MessagePart):
            return message
        whole = self._assembler.add(message, sender=host, now_s=self._clock())
        return None if whole is None else group.decode(whole)
