"""Send answers to one caller over ASGI."""

import json

import anyio

from savoryyoke_entry import exceptions

DONE_EVENT = b'data: [DONE]\n\n'
STREAM_TYPE = 'text/event-stream'
ERROR_EVENT = b'event: error\ndata: '
_REPLACED_HEADERS = frozenset({'content-length', 'transfer-encoding'})


class Caller:
    """Send the answer of one request to its caller.

    ``gone`` is set once the caller has closed its connection, and
    ``answer_started`` is true once the status has been sent.
    """

    def __init__(self, *, receive, send):
        self._receive = receive
        self._send = send
        self.gone = anyio.Event()
        self.answer_started = False

    async def watch_disconnect(self):
        """Set ``gone`` and return when the caller closes its connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                self.gone.set()
                return

    async def start(self, status, headers):
        """Send the status and headers of an answer."""
        self.answer_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def send_part(self, data, *, last=False):
        """Send the next bytes; wait while the caller reads slowly.

        Raise ``CallerGone`` once the caller has closed its connection.
        """
        if self.gone.is_set():
            raise exceptions.CallerGone
        await self._send(
            {
                'type': 'http.response.body',
                'body': data,
                'more_body': not last,
            }
        )

    async def send_complete(self, status, headers, body):
        """Send a complete answer, with its length."""
        length = str(len(body)).encode()
        pairs = [*to_pairs(headers), (b'content-length', length)]
        await self.start(status, pairs)
        await self.send_part(body, last=True)

    async def send_problem(self, problem):
        """Send a ``Problem``, or an error event once the answer has begun."""
        body = problem.build_body()
        if self.answer_started:
            # The body is left unterminated, so that no client mistakes it
            # for a complete answer.
            await self.send_part(ERROR_EVENT + body + b'\n\n')
            return
        headers = problem.build_headers()
        headers.append((b'content-length', str(len(body)).encode()))
        await self.start(problem.kind.status, headers)
        await self.send_part(body, last=True)

    async def send_json(self, value, status=200):
        """Send ``value`` as JSON."""
        headers = [('content-type', 'application/json')]
        await self.send_complete(status, headers, json.dumps(value).encode())


def to_pairs(headers):
    """Return name and value pairs of text as ASGI headers."""
    return [
        (name.lower().encode('latin-1'), value.encode('latin-1'))
        for name, value in headers
        if name.lower() not in _REPLACED_HEADERS
    ]
