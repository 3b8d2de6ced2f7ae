"""Send the answer to a caller over ASGI."""


class CallerChannel:
    """Send the answer to one request.

    ``send`` is the ASGI function. ``should_close()`` returns whether the
    caller is asked to use another connection for its next request.
    """

    def __init__(self, *, send, should_close):
        self._send = send
        self._should_close = should_close
        self.started = False

    async def answer(self, *, status, headers=(), body=b''):
        """Send a complete answer."""
        length = (b'content-length', str(len(body)).encode())
        await self._start(status, [*headers, length])
        await self._send({'type': 'http.response.body', 'body': body})

    async def begin(self, *, status, headers):
        """Send the head of a stream."""
        await self._start(status, list(headers))

    async def write(self, data):
        """Send a part of a stream."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self):
        """Mark a stream as complete.

        Without this call the connection is closed before the final chunk,
        which shows the caller that the stream is incomplete.
        """
        await self._send({'type': 'http.response.body', 'body': b''})

    async def _start(self, status, headers):
        self.started = True
        if self._should_close():
            headers.append((b'connection', b'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
