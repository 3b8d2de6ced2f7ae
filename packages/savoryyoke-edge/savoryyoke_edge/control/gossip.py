"""Exchange membership messages as UDP datagrams."""

import anyio

from savoryyoke.membership import decisions
from savoryyoke.membership import events
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import gossip


class Gossip:
    """Own the UDP socket and the membership aggregate of this process.

    ``on_decision(decision)`` is called for each decision of the aggregate
    except ``Send``, which is sent as a datagram.
    """

    def __init__(self, *, socket, membership, clock, tick_s, on_decision):
        self._socket = socket
        self._membership = membership
        self._clock = clock
        self._tick_s = tick_s
        self._on_decision = on_decision
        self._outbox = []
        self._outbox_ready = anyio.Event()
        self._send_lock = anyio.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.malformed_datagrams = 0

    @property
    def membership(self):
        """Return the membership aggregate, for queries."""
        return self._membership

    def feed(self, event):
        """Apply an event to the membership and carry out its decisions."""
        for decision in self._membership.apply(event, now_s=self._clock()):
            if isinstance(decision, decisions.Send):
                self._outbox.append(decision)
                self._outbox_ready.set()
            else:
                self._on_decision(decision)

    async def run(self):
        """Send, receive and tick until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive_loop)
            tasks.start_soon(self._send_loop)
            tasks.start_soon(self._tick_loop)

    async def flush(self):
        """Send all queued datagrams, for example before the process stops."""
        await self._send_queued()

    async def _tick_loop(self):
        while True:
            await anyio.sleep(self._tick_s)
            self.feed(events.Ticked())

    async def _receive_loop(self):
        while True:
            try:
                payload, (host, port, *_) = await self._socket.receive()
            except OSError as error:
                # The error concerns a datagram sent earlier (for example, ICMP
                # port unreachable); the socket stays usable.
                logs.write_event(
                    'datagram_failed', level='debug', reason=str(error)
                )
                continue
            self.received_bytes += len(payload)
            self._handle_datagram(
                payload, addresses.Address(host=host, port=port)
            )

    def _handle_datagram(self, payload, address):
        try:
            message = gossip.decode(payload)
        except wire_exceptions.WireError as error:
            self.malformed_datagrams += 1
            logs.write_event(
                'datagram_refused',
                level='warning',
                address=address,
                reason=str(error),
            )
            return
        self.feed(
            events.MessageReceived(message=message, address=str(address))
        )

    async def _send_loop(self):
        while True:
            await self._outbox_ready.wait()
            self._outbox_ready = anyio.Event()
            await self._send_queued()

    async def _send_queued(self):
        # anyio allows only one task at a time to send on a socket.
        async with self._send_lock:
            queued, self._outbox = self._outbox, []
            for decision in queued:
                await self._send_datagram(decision)

    async def _send_datagram(self, decision):
        try:
            address = addresses.parse_peer_address(decision.address)
            payload = gossip.encode(decision.message)
            await self._socket.sendto(payload, address.host, address.port)
        except (ValueError, OSError, wire_exceptions.WireError) as error:
            logs.write_event(
                'datagram_not_sent',
                level='debug',
                address=decision.address,
                reason=str(error),
            )
            return
        self.sent_bytes += len(payload)
