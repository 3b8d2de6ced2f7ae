"""Connect to the target processes and multiplex calls on each link."""

import itertools
import math

import anyio

from savoryyoke_edge import connections
from savoryyoke_edge import exceptions as edge_exceptions
from savoryyoke_edge import logs
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_wire import messages


class Channel:
    """Receive the messages of one call; None means that the link broke."""

    def __init__(self, *, link, call_id):
        self._link = link
        self.call_id = call_id
        self._send_stream, self._receive_stream = (
            anyio.create_memory_object_stream(math.inf)
        )

    def put(self, message):
        """Queue a message of the target; None if the link broke."""
        self._send_stream.send_nowait(message)

    async def get(self):
        """Return the next message of the target, or None if the link broke."""
        return await self._receive_stream.receive()

    def grant_credit(self, size_bytes):
        """Allow the target to send ``size_bytes`` more."""
        self._link.send_if_up(
            messages.Credit(call_id=self.call_id, bytes=size_bytes)
        )

    def close(self, *, cancel):
        """Drop the call; with ``cancel``, tell the target to stop it."""
        self._link.remove_channel(self.call_id)
        if cancel:
            self._link.send_if_up(messages.Cancel(call_id=self.call_id))


class Link:
    """Keep the connection to one target process.

    ``owner`` is notified through ``on_link_up(link)``, ``on_link_down(link)``
    and, for messages that belong to no call, ``on_link_message(link,
    message)``.
    """

    def __init__(self, *, target_id, address, hello, timeout_s, owner):
        self.target_id = target_id
        self.address = address
        self._hello = hello
        self._timeout_s = timeout_s
        self._owner = owner
        self._connection = None
        self._call_numbers = itertools.count(1)
        self._channels_by_call_id = {}
        self._up_event = anyio.Event()
        self.last_message_at_s = -math.inf

    async def wait_until_up(self, timeout_s):
        """Return once there is a connection.

        Raise ``LinkDown`` if there is none after ``timeout_s``.
        """
        with anyio.move_on_after(timeout_s):
            await self._up_event.wait()
        if self._connection is None:
            raise exceptions.LinkDown(self.target_id)

    @property
    def peer(self):
        """Return the target's ``Hello``, or None while the link is down."""
        return self._connection.peer if self._connection else None

    def open_channel(self):
        """Return a channel for a new call.

        Raise ``LinkDown`` without a connection.
        """
        if self._connection is None or self._connection.closed:
            raise exceptions.LinkDown(self.target_id)
        channel = Channel(link=self, call_id=next(self._call_numbers))
        self._channels_by_call_id[channel.call_id] = channel
        return channel

    def send(self, message):
        """Send ``message`` or raise ``LinkDown``."""
        if self._connection is None:
            raise exceptions.LinkDown(self.target_id)
        try:
            self._connection.send(message)
        except edge_exceptions.ConnectionLost as error:
            raise exceptions.LinkDown(self.target_id) from error

    def send_if_up(self, message):
        """Send ``message`` if the link is up, else drop it."""
        try:
            self.send(message)
        except exceptions.LinkDown:
            return

    def remove_channel(self, call_id):
        """Remove the channel of a call."""
        self._channels_by_call_id.pop(call_id, None)

    async def run(self):
        """Connect, and reconnect when the link breaks, until cancelled."""
        delay_s = conf.LINK_RETRY_FIRST_S
        while True:
            try:
                connection, early_messages = await connections.connect(
                    address=self.address,
                    hello=self._hello,
                    timeout_s=self._timeout_s,
                )
            except edge_exceptions.ConnectionLost:
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, conf.LINK_RETRY_LIMIT_S)
                continue
            delay_s = conf.LINK_RETRY_FIRST_S
            await self._serve(connection, early_messages)

    async def _serve(self, connection, early_messages):
        self._connection = connection
        logs.write_event(
            'link_up',
            target=self.target_id,
            incarnation=f'{connection.peer.incarnation:016x}',
        )
        self._owner.on_link_up(self)
        self._up_event.set()
        try:
            await connection.run(self._dispatch_message, early_messages)
        finally:
            self._connection = None
            self._up_event = anyio.Event()
            logs.write_event('link_down', target=self.target_id)
            self._owner.on_link_down(self)
            for channel in list(self._channels_by_call_id.values()):
                channel.put(None)
            self._channels_by_call_id.clear()

    def _dispatch_message(self, message):
        self.last_message_at_s = anyio.current_time()
        call_id = getattr(message, 'call_id', None)
        if call_id is None:
            self._owner.on_link_message(self, message)
            return
        channel = self._channels_by_call_id.get(call_id)
        if channel is not None:
            channel.put(message)
