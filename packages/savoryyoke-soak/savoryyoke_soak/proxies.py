"""Pass bytes on between two processes, badly on demand."""

import enum

import anyio
import anyio.abc

from savoryyoke_fakes.deployment import sockets

_DELAY_S = 0.15
_CHUNK_BYTES = 64 * 1024


class Mode(enum.Enum):
    """Name what a proxy does with what it gets."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    CUT_TO = 'cut-to'
    CUT_FROM = 'cut-from'
    SILENCE = 'silence'


class Proxy:
    """Own a listening address in front of one upstream address.

    ``mode`` holds for open connections too. Bytes that are cut are lost;
    their connection is reset when the cut ends, as TCP would give up. With
    ``ends_with_upstream``, nothing listens any more once the upstream process
    has refused a connection.
    """

    def __init__(self, *, upstream, ends_with_upstream=False):
        self._upstream = upstream
        self._ends_with_upstream = ends_with_upstream
        self._listening = anyio.CancelScope()
        self._connections = set()
        self._torn = set()
        self._mode = Mode.PASS

    def set_mode(self, mode):
        """Behave in another way from now on."""
        self._mode = mode
        doomed = self._torn
        if mode is Mode.RESET:
            doomed = set(self._connections)
        for scope in list(doomed):
            scope.cancel()

    async def serve(self, *, task_status):
        """Serve until cancelled; report the address."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        task_status.started(address[:2])
        async with listener:
            with self._listening:
                await listener.serve(self._handle)

    async def _handle(self, near):
        with anyio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                if self._mode is not Mode.RESET:
                    await self._join(near, scope)
            except OSError:
                # The upstream process is gone: so is this connection.
                scope.cancel()
                if self._ends_with_upstream:
                    self._listening.cancel()
            finally:
                self._connections.discard(scope)
                self._torn.discard(scope)
        await sockets.reset(near)

    async def _join(self, near, scope):
        async with await anyio.connect_tcp(*self._upstream) as far:
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, near, far, Mode.CUT_TO, scope)
                await self._pump(far, near, Mode.CUT_FROM, scope)
                group.cancel_scope.cancel()

    async def _pump(self, source, sink, cut, scope):
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                if self._mode is Mode.DELAY:
                    await anyio.sleep(_DELAY_S)
                if self._mode in (cut, Mode.SILENCE):
                    self._torn.add(scope)
                elif scope not in self._torn:
                    await sink.send(data)
        except anyio.EndOfStream:
            await self._end(sink, scope)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()

    async def _end(self, sink, scope):
        """Pass the end of one direction on."""
        if scope in self._torn:
            await anyio.sleep_forever()
        try:
            await sink.send_eof()
        except (OSError, anyio.BrokenResourceError):
            scope.cancel()
