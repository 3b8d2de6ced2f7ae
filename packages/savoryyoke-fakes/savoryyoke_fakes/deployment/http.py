"""Serve HTTP/1.1 directly on sockets, so that tests can send invalid HTTP."""

import dataclasses

import anyio
import anyio.abc

from savoryyoke_fakes.deployment import sockets

_REASONS_BY_STATUS = {200: 'OK'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Hold a received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def shared_prompt_parts(self):
        """Return the ids of all parts of the prompt but the last one."""
        parts = self.headers.get('x-prompt-prefix', '').split(',')
        return tuple(part.partition(':')[0] for part in parts[:-1])


class Connection:
    """Read requests from an accepted connection and answer them."""

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
        body_length = int(headers.get('content-length', 0))
        while len(self._buffer) < body_length:
            if not await self._receive():
                return None
        body, self._buffer = (
            self._buffer[:body_length],
            self._buffer[body_length:],
        )
        return Request(
            method=method, target=target, headers=headers, body=body
        )

    async def answer(self, status, *, headers=(), body=b''):
        """Send a complete response with a ``Content-Length`` header."""
        length_header = ('Content-Length', str(len(body)))
        await self.send_head(status, [*headers, length_header])
        await self.send(body)

    async def send_head(self, status, headers):
        """Send the status line and ``headers``, which are pairs of strings."""
        reason = _REASONS_BY_STATUS.get(status, 'Other')
        lines = [f'HTTP/1.1 {status} {reason}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        await self.send('\r\n'.join([*lines, '', '']).encode())

    async def send(self, data):
        """Send ``data`` without framing."""
        await self._stream.send(data)

    async def send_chunk(self, data):
        """Send one chunk of a chunked body; empty ``data`` ends the body."""
        await self.send(f'{len(data):x}\r\n'.encode() + data + b'\r\n')

    async def reset(self):
        """Reset the TCP connection."""
        await sockets.reset(self._stream)

    async def wait_closed(self):
        """Wait until the client closes the connection."""
        while await self._receive():
            pass

    async def _receive(self):
        try:
            self._buffer += await self._stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return False
        return True


async def serve(answer, *, task_status, host='127.0.0.1', port=0):
    """Call ``answer(request, connection)`` for each request until cancelled.

    Pass the bound address to ``task_status`` as ``(host, port)``. With port 0
    the kernel selects a free port.
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
