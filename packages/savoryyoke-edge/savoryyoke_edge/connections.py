"""Exchange protocol messages over one TCP connection.

The connection's task owns its socket. Others hand it messages through
``send`` and get the peer's messages through the handler.
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
    """Carry messages to and from one peer."""

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
        """Tell whether the connection has ended."""
        return self._closed

    async def open(self):
        """Exchange greetings and return the messages that followed.

        Raise ``ConnectionLost`` where the peer is silent, gone, or speaks
        another protocol.
        """
        self._queue_bytes(wire_conf.PREFACE)
        self.send(self._hello)
        try:
            with anyio.fail_after(HELLO_TIMEOUT_S):
                await self._flush()
                early = await self._receive_hello()
        except (TimeoutError, OSError, anyio.EndOfStream) as error:
            raise exceptions.ConnectionLost('no greeting') from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            wire_exceptions.WireError,
        ) as error:
            raise exceptions.ConnectionLost(str(error)) from error
        return early

    async def _receive_hello(self):
        received = []
        while not received:
            data = await self._stream.receive(RECEIVE_BYTES)
            received = self._splitter.feed(data)
        hello = codec.decode(received[0])
        if not isinstance(hello, messages.Hello):
            raise wire_exceptions.MalformedMessage('no greeting')
        versions.choose_version(hello)
        self.peer = hello
        return [codec.decode(frame) for frame in received[1:]]

    def send(self, message):
        """Queue ``message``; raise ``ConnectionLost`` once closed."""
        if self._closed:
            raise exceptions.ConnectionLost('the connection is closed')
        self._queue_bytes(frames.build_frame(codec.encode(message)))
        if self._outbox_bytes > OUTBOX_LIMIT_BYTES:
            self._closed = True
            self._outbox_ready.set()
            raise exceptions.ConnectionLost('the peer reads too slowly')

    def _queue_bytes(self, data):
        self._outbox.append(data)
        self._outbox_bytes += len(data)
        self._outbox_ready.set()

    async def run(self, handle, early=()):
        """Serve the connection until it ends, then close it.

        ``handle(message)`` is called for each message of the peer, in
        order, and must not wait.
        """
        try:
            for message in early:
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
        """End the connection; its ``run`` returns soon after."""
        self._closed = True
        self._outbox_ready.set()


async def connect(*, address, hello, timeout_s):
    """Return a connection to ``address`` and the messages already received.

    Raise ``ConnectionLost`` where there is no peer within ``timeout_s``.
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
        early = await connection.open()
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise
    return connection, early
