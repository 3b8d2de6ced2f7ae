"""Forward bytes between two processes and simulate network faults."""

import enum

import anyio
import anyio.abc

from savoryyoke_fakes.deployment import sockets

_DELAY_S = 0.15
_CHUNK_BYTES = 64 * 1024


class Mode(enum.Enum):
    """Name what a proxy does with connections and received bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    CUT_TO = 'cut-to'
    CUT_FROM = 'cut-from'
    SILENCE = 'silence'


class Proxy:
    """Forward connections from a listening address to an upstream address.

    It listens on ``host``. The mode applies to open connections too. A
    connection that has lost bytes in a cut or silence is reset at the next
    change of mode, as TCP would do eventually. With ``ends_with_upstream``,
    the proxy stops listening once the upstream process has refused a
    connection.
    """

    def __init__(self, *, host, upstream, ends_with_upstream=False):
        self._host = host
        self._upstream = upstream
        self._ends_with_upstream = ends_with_upstream
        self._listen_scope = anyio.CancelScope()
        self._connections = set()
        self._damaged_connections = set()
        self._mode = Mode.PASS

    def set_mode(self, mode):
        """Set the mode; reset all connections for RESET, else damaged ones."""
        self._mode = mode
        scopes_to_cancel = self._damaged_connections
        if mode is Mode.RESET:
            scopes_to_cancel = set(self._connections)
        for scope in list(scopes_to_cancel):
            scope.cancel()

    async def serve(self, *, task_status):
        """Serve until cancelled; report the address as the task's status."""
        listener = await anyio.create_tcp_listener(local_host=self._host)
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        task_status.started(address[:2])
        async with listener:
            with self._listen_scope:
                await listener.serve(self._handle)

    async def _handle(self, downstream):
        with anyio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                if self._mode is not Mode.RESET:
                    await self._relay(downstream, scope)
            except OSError:
                # The upstream process refused or broke the connection.
                scope.cancel()
                if self._ends_with_upstream:
                    self._listen_scope.cancel()
            finally:
                self._connections.discard(scope)
                self._damaged_connections.discard(scope)
        await sockets.reset(downstream)

    async def _relay(self, downstream, scope):
        async with await anyio.connect_tcp(*self._upstream) as upstream:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._forward, downstream, upstream, Mode.CUT_TO, scope
                )
                await self._forward(upstream, downstream, Mode.CUT_FROM, scope)
                group.cancel_scope.cancel()

    async def _forward(self, source, destination, cut_mode, scope):
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                if self._mode is Mode.DELAY:
                    await anyio.sleep(_DELAY_S)
                if self._mode in (cut_mode, Mode.SILENCE):
                    self._damaged_connections.add(scope)
                elif scope not in self._damaged_connections:
                    await destination.send(data)
        except anyio.EndOfStream:
            await self._forward_end(destination, scope)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()

    async def _forward_end(self, destination, scope):
        """Close the other side's direction after an end of stream."""
        if scope in self._damaged_connections:
            await anyio.sleep_forever()
        try:
            await destination.send_eof()
        except (OSError, anyio.BrokenResourceError):
            scope.cancel()
