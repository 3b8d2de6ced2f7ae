"""Exchange membership's messages as UDP datagrams."""

import anyio

from savoryyoke.membership import decisions
from savoryyoke.membership import events
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import gossip


class Gossip:
    """Own the UDP socket and the membership of this process.

    ``on_decision(decision)`` gets every decision but those to send.
    """

    def __init__(self, *, socket, membership, clock, tick_s, on_decision):
        self._socket = socket
        self._membership = membership
        self._clock = clock
        self._tick_s = tick_s
        self._on_decision = on_decision
        self._outbox = []
        self._outbox_ready = anyio.Event()
        self._sending = anyio.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.refused_datagrams = 0

    @property
    def membership(self):
        """Return the aggregate, for queries."""
        return self._membership

    def feed(self, event):
        """Pass an event to membership and carry out its decisions."""
        for decision in self._membership.apply(event, now_s=self._clock()):
            if isinstance(decision, decisions.Send):
                self._outbox.append(decision)
                self._outbox_ready.set()
            else:
                self._on_decision(decision)

    async def run(self):
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._send)
            tasks.start_soon(self._tick)

    async def flush(self):
        """Send what is waiting; for the last message of a process."""
        await self._send_waiting()

    async def _tick(self):
        while True:
            await anyio.sleep(self._tick_s)
            self.feed(events.Ticked())

    async def _receive(self):
        while True:
            try:
                packed, (host, port, *_) = await self._socket.receive()
            except OSError as error:
                # An earlier datagram reached nobody; others may still.
                logs.write_event(
                    'datagram_failed', level='debug', reason=str(error)
                )
                continue
            self.received_bytes += len(packed)
            self._take(packed, addresses.Address(host=host, port=port))

    def _take(self, packed, address):
        try:
            message = gossip.decode(packed)
        except wire_exceptions.WireError as error:
            self.refused_datagrams += 1
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

    async def _send(self):
        while True:
            await self._outbox_ready.wait()
            self._outbox_ready = anyio.Event()
            await self._send_waiting()

    async def _send_waiting(self):
        # One task at a time may use the socket.
        async with self._sending:
            waiting, self._outbox = self._outbox, []
            for decision in waiting:
                await self._send_one(decision)

    async def _send_one(self, decision):
        try:
            address = addresses.parse_peer_address(decision.address)
            packed = gossip.encode(decision.message)
            await self._socket.sendto(packed, address.host, address.port)
        except (ValueError, OSError, wire_exceptions.WireError) as error:
            logs.write_event(
                'datagram_not_sent',
                level='debug',
                address=decision.address,
                reason=str(error),
            )
            return
        self.sent_bytes += len(packed)
