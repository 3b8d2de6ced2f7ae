"""Exchange datagrams between the agents of a group."""

import contextlib
import itertools

import anyio

from savoryyoke_agent import conf

from savoryyoke_edge import datagrams
from savoryyoke_edge import logs
from savoryyoke_wire import assembly
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import group


class Exchange:
    """Send and receive messages through a UDP socket.

    ``receive(message)`` is called for each received message. A message that
    can't be sent or processed is logged and dropped; agents repeat messages
    that have to arrive. ``link_bytes_per_s`` is the capacity of the VM's
    network link. ``clock`` returns seconds.
    """

    def __init__(self, *, host, port, link_bytes_per_s, receive, clock):
        self._host = host
        self._port = port
        self._unpaced_bytes = conf.UNPACED_LINK_S * link_bytes_per_s
        self._paced_bytes_per_s = conf.PACED_LINK_SHARE * link_bytes_per_s
        self._receive = receive
        self._clock = clock
        self._assembler = assembly.Assembler()
        self._message_ids = itertools.count(int(clock() * 1000))
        self._socket = None

    async def run(self):
        """Receive datagrams until cancelled."""
        with contextlib.closing(
            datagrams.DatagramSocket(
                host=self._host,
                port=self._port,
                limit_bytes=conf.DATAGRAM_LIMIT_BYTES,
                datagrams_per_read=conf.DATAGRAMS_PER_READ,
                receive=self._receive_datagram,
                report_unsent=self._ignore_unsent,
            )
        ) as self._socket:
            await self._socket.wait_for_failure()

    async def send(self, message, hosts, *, port=None):
        """Send a message to hosts, at the agents' port by default."""
        if self._socket is None:
            return
        encoded = self._encode(message)
        for host, packed in itertools.product(hosts, encoded):
            await self._socket.send_when_writable(
                packed, (host, port or self._port)
            )

    async def send_paced(self, message, hosts):
        """Send a large message to hosts, after a burst at a limited rate."""
        if self._socket is None:
            return
        encoded = self._encode(message)
        sent_bytes = 0
        for host, packed in itertools.product(hosts, encoded):
            await self._socket.send_when_writable(packed, (host, self._port))
            sent_bytes += len(packed)
            if sent_bytes > self._unpaced_bytes:
                await anyio.sleep(len(packed) / self._paced_bytes_per_s)

    @staticmethod
    def _ignore_unsent(host, error):
        """Drop a datagram that the kernel refuses, like the network."""

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

    def _receive_datagram(self, packed, host):
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
            # A single message must not end the process.
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
        assembled = self._assembler.add(
            message, sender=host, now_s=self._clock()
        )
        return None if assembled is None else group.decode(assembled)
