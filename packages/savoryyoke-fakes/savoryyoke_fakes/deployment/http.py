"""Serve HTTP/1.1 by hand, so that every oddity can be produced."""

import dataclasses

import anyio
import anyio.abc

from savoryyoke_fakes.deployment import sockets

_REASONS_BY_STATUS = {200: 'OK'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Hold a request as it came; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """Own one accepted connection."""

    def __init__(self, stream):
        self._stream = stream
        self._buffer = b''
        address = stream.extra(anyio.abc.SocketAttribute.remote_address)
        self.peer_host = address[0]

    async def read_request(self):
        """Return the next request, or None at the end of the connection."""
        while b'\r\n\r\n' not in self._buffer:
            if not await self._receive():
                return None
        head, _, self._buffer = self._buffer.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        pairs = (line.split(':', 1) for line in lines[1:])
        headers = {name.lower(): value.strip() for name, value in pairs}
        length = int(headers.get('content-length', 0))
        while len(self._buffer) < length:
            if not await self._receive():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return Request(
            method=method, target=target, headers=headers, body=body
        )

    async def answer(self, status, *, headers=(), body=b''):
        """Send a whole answer."""
        length = ('Content-Length', str(len(body)))
        await self.send_head(status, [*headers, length])
        await self.send(body)

    async def send_head(self, status, headers):
        """Send a status line and headers."""
        reason = _REASONS_BY_STATUS.get(status, 'Other')
        lines = [f'HTTP/1.1 {status} {reason}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        await self.send('\r\n'.join([*lines, '', '']).encode())

    async def send(self, data):
        """Send bytes as they are."""
        await self._stream.send(data)

    async def send_chunk(self, data):
        """Send one chunk; an empty one ends the body."""
        await self.send(f'{len(data):x}\r\n'.encode() + data + b'\r\n')

    async def reset(self):
        """Close the connection with a reset."""
        await sockets.reset(self._stream)

    async def wait_closed(self):
        """Return when the other side has closed."""
        while await self._receive():
            pass

    async def _receive(self):
        try:
            self._buffer += await self._stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return False
        return True


async def serve(answer, *, task_status, host='127.0.0.1', port=0):
    """Call ``answer(request, connection)`` for each request.

    Report the bound address as ``(host, port)``; port 0 takes a free one.
    """

    async def handle(stream):
        connection = Connection(stream)
        async with stream:
            try:
                while True:
                    request = await connection.read_request()
                    if request is None:
                        return
                    await answer(request, connection)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return

    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port
    )
    address = listener.extra(anyio.abc.SocketAttribute.local_address)
    task_status.started(address[:2])
    async with listener:
        await listener.serve(handle)
