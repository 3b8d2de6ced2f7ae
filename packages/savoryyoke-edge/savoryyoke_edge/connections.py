"""Exchange protocol messages over one TCP connection.

Only the task in ``Connection.run`` uses the socket. Other tasks queue
messages with ``send``; messages of the peer are passed to the handler.
"""

import socket

import anyio
import anyio.abc

from savoryyoke_edge import exceptions
from savoryyoke_edge import logs
from savoryyoke_wire import codec
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import frames
from savoryyoke_wire import messages
from savoryyoke_wire import versions

RECEIVE_BYTES = 256 * 1024
OUTBOX_LIMIT_BYTES = 16 * 1024 * 1024
HELLO_TIMEOUT_S = 5.0


class Connection:
    """Send messages to one peer and receive its messages.

    ``peer`` is the peer's ``Hello`` after ``open``.
    """

    def __init__(self, *, stream, hello):
        self._stream = stream
        self._hello = hello
        self._splitter = frames.FrameSplitter()
        self._outbox = []
        self._outbox_bytes = 0
        self._outbox_ready = anyio.Event()
        self._closed = False
        self.peer = None

    @property
    def closed(self):
        """Return whether the connection is closed or closing."""
        return self._closed

    async def open(self):
        """Do the handshake and return messages received along with it.

        Raise ``ConnectionLost`` if the peer sends no ``Hello`` in time,
        disconnects, or uses an incompatible protocol.
        """
        self._queue_bytes(wire_conf.PREFACE)
        self.send(self._hello)
        try:
            with anyio.fail_after(HELLO_TIMEOUT_S):
                await self._flush()
                early_messages = await self._receive_hello()
        except (TimeoutError, OSError, anyio.EndOfStream) as error:
            raise exceptions.ConnectionLost(
                'no Hello from the peer'
            ) from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            wire_exceptions.WireError,
        ) as error:
            raise exceptions.ConnectionLost(str(error)) from error
        return early_messages

    async def _receive_hello(self):
        received = []
        while not received:
            data = await self._stream.receive(RECEIVE_BYTES)
            received = self._splitter.feed(data)
        hello = codec.decode(received[0])
        if not isinstance(hello, messages.Hello):
            raise wire_exceptions.MalformedMessage(
                'the first message is not a Hello'
            )
        versions.choose_version(hello)
        self.peer = hello
        return [codec.decode(frame) for frame in received[1:]]

    def send(self, message):
        """Queue ``message`` for sending.

        Raise ``ConnectionLost`` if the connection is closed or more than
        ``OUTBOX_LIMIT_BYTES`` are queued; the latter closes it.
        """
        if self._closed:
            raise exceptions.ConnectionLost('the connection is closed')
        self._queue_bytes(frames.build_frame(codec.encode(message)))
        if self._outbox_bytes > OUTBOX_LIMIT_BYTES:
            self._closed = True
            self._outbox_ready.set()
            raise exceptions.ConnectionLost(
                'the peer reads too slowly; the outbox is full'
            )

    def _queue_bytes(self, data):
        self._outbox.append(data)
        self._outbox_bytes += len(data)
        self._outbox_ready.set()

    async def run(self, handle, early_messages=()):
        """Send and receive until the connection ends, then close it.

        ``handle(message)`` is called for each message of the peer, in
        order, and must not block. ``early_messages`` holds the messages
        that ``open`` returned; they are handled first.
        """
        try:
            for message in early_messages:
                if message is not None:
                    handle(message)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, tasks.cancel_scope)
                await self._read(handle)
                tasks.cancel_scope.cancel()
        finally:
            self._closed = True
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _read(self, handle):
        while not self._closed:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
                received = self._splitter.feed(data)
                for frame in received:
                    message = codec.decode(frame)
                    if message is not None:
                        handle(message)
            except wire_exceptions.WireError as error:
                logs.write_event(
                    'connection_refused',
                    level='warning',
                    peer=self.peer.process_id if self.peer else '',
                    reason=str(error),
                )
                return
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                OSError,
            ):
                return

    async def _write(self, scope):
        while not self._closed:
            await self._outbox_ready.wait()
            try:
                await self._flush()
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                OSError,
            ):
                break
        scope.cancel()

    async def _flush(self):
        data = b''.join(self._outbox)
        self._outbox.clear()
        self._outbox_bytes = 0
        self._outbox_ready = anyio.Event()
        if data:
            await self._stream.send(data)

    def close(self):
        """Close the connection; ``run`` returns soon after."""
        self._closed = True
        self._outbox_ready.set()


async def connect(*, address, hello, timeout_s):
    """Return a connection to ``address`` and the messages already received.

    ``timeout_s`` limits connecting, ``HELLO_TIMEOUT_S`` the handshake. Raise
    ``ConnectionLost`` if either fails.
    """
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise exceptions.ConnectionLost(f'{address}: {error}') from error
    stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
    )
    connection = Connection(stream=stream, hello=hello)
    try:
        early_messages = await connection.open()
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise
    return connection, early_messages
