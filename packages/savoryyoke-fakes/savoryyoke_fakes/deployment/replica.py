"""Simulate a replica and the faults that its clients must handle."""

import collections
import dataclasses
import enum
import time

import anyio

from savoryyoke_fakes.deployment import http


class Oddity(enum.Enum):
    """List the faults that a replica can apply to a request."""

    NONE = 'none'
    REFUSE = 'refuse'
    REFUSE_UNPROVEN = 'refuse-unproven'
    OTHER_INSTANCE = 'other-instance'
    REFUSE_TWICE = 'refuse-twice'
    REFUSE_TWICE_LATE = 'refuse-twice-late'
    ERROR = 'error'
    NOT_FOUND = 'not-found'
    CUT_STATUS_LINE = 'cut-status-line'
    CUT_FIELD_NAME = 'cut-field-name'
    CUT_FIELD_VALUE = 'cut-field-value'
    CUT_BEFORE_BODY = 'cut-before-body'
    RESET_BEFORE = 'reset-before'
    RESET_AFTER_RUN = 'reset-after-run'
    MUTE = 'mute'
    TRUNCATE = 'truncate'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed-reset'
    EXTRA = 'extra'
    OTHER_REQUEST = 'other-request'
    ENCODED = 'encoded'
    UNSIGNED = 'unsigned'
    NO_REQUEST_ID = 'no-request-id'
    NO_HTTP = 'no-http'
    INFORMATIONAL = 'informational'
    TORN_EVENT = 'torn-event'
    TORN_EVENT_ENDED = 'torn-event-ended'
    UNFRAMED_STREAM = 'unframed-stream'
    UNFRAMED_TORN_EVENT = 'unframed-torn-event'
    SLOW_EVENTS = 'slow-events'
    ENDLESS_EVENT = 'endless-event'
    ENDLESS_COMMENTS = 'endless-comments'
    DRIPPED_EVENT = 'dripped-event'
    ENDLESS_HEAD = 'endless-head'
    ENDLESS_INFORMATIONAL = 'endless-informational'
    ENDLESS_NOISE = 'endless-noise'
    ENDLESS_BODY = 'endless-body'
    ENDLESS_CHUNK_SIZE = 'endless-chunk-size'
    ENDLESS_TRAILERS = 'endless-trailers'
    DRIPPED_HEAD = 'dripped-head'
    DRIPPED_BODY = 'dripped-body'
    DRIPPED_CHUNK_SIZE = 'dripped-chunk-size'
    DRIPPED_TRAILERS = 'dripped-trailers'
    DRIPPED_STREAM_END = 'dripped-stream-end'


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawAnswer:
    """Describe a fault that sends ``data`` in place of an answer.

    Each ``{request-id}`` in it is replaced. Afterwards the connection stays
    open until the client closes it, unless ``closes`` is true.
    """

    data: bytes
    closes: bool = False


@dataclasses.dataclass(kw_only=True)
class Run:
    """Record one request that the replica ran.

    ``was_cut`` is true if the caller disconnected before the end.
    """

    request: http.Request
    was_cut: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class FatalRequest:
    """Describe requests that crash the replica.

    These are the requests with a certain body, or those whose prompt has a
    certain part, except as its last one. The crash comes ``after_s`` seconds
    after the request has started to run.
    """

    body: bytes | None = None
    prompt_part: str | None = None
    after_s: float = 0.03

    def matches(self, request):
        """Return whether a request is one of those described."""
        if self.prompt_part is not None:
            return self.prompt_part in request.shared_prompt_parts
        return request.body == self.body


class FakeReplica:
    """Run requests and record them.

    Each request removes the first fault of ``oddities`` or, if it is empty,
    of ``common_oddities``; without a fault, it is served normally. A fault is
    an ``Oddity`` or a ``RawAnswer``. Several
    replicas can share ``common_oddities`` and ``common_runs``, to which each
    appends its runs in order. ``work_s`` is the time in seconds for a response
    and for each event of a stream; ``work_s_by_body`` overrides it for
    responses to single request bodies. ``fatal_requests`` holds
    ``FatalRequest`` objects. While ``is_leaving`` is true, responses carry
    the ``Server-Leaving`` header. While ``pause`` is set, all requests are
    refused with it as the ``Retry-After`` header. While ``rate_limit`` is set,
    responses carry it as the ``Server-Limit`` header. ``arrivals`` lists the
    requests in order, ``arrival_times_s`` their monotonic times in seconds.
    """

    def __init__(
        self,
        *,
        replica_id,
        common_oddities,
        common_runs,
        events=4,
        work_s=0.0,
        fatal_requests=(),
    ):
        self.replica_id = replica_id
        self.events = events
        self.oddities = collections.deque()
        self.arrivals = []
        self.arrival_times_s = []
        self.is_leaving = False
        self.pause = None
        self.rate_limit = None
        self.work_s_by_body = {}
        self._common_oddities = common_oddities
        self._common_runs = common_runs
        self._work_s = work_s
        self._fatal_requests = fatal_requests
        self._serve_scope = anyio.CancelScope()

    async def serve(self, *, task_status, host='127.0.0.1', port=0):
        """Serve on loopback until ``crash`` is called.

        Pass the bound address to ``task_status``.
        """
        with self._serve_scope:
            await http.serve(
                self._answer, task_status=task_status, host=host, port=port
            )

    def crash(self):
        """Close the listener and all connections at once."""
        self._serve_scope.cancel()

    async def _answer(self, request, connection):
        self.arrivals.append(request)
        self.arrival_times_s.append(time.monotonic())
        oddity = self._pop_oddity()
        expected = request.headers.get('x-expect-instance')
        if oddity is Oddity.OTHER_INSTANCE or (
            expected is not None and expected != self.replica_id
        ):
            headers = [('X-Instance', 'other'), *self._build_notices()]
            await connection.answer(421, headers=headers)
        elif oddity in _REPEATED_REFUSAL_PAUSES_S:
            await self._refuse_twice(
                connection, _REPEATED_REFUSAL_PAUSES_S[oddity]
            )
        elif oddity is Oddity.REFUSE or self.pause is not None:
            headers = [('X-Not-Run', '1'), *self._build_notices()]
            await connection.answer(503, headers=headers)
        elif oddity is Oddity.RESET_BEFORE:
            await connection.reset()
        else:
            await self._run(request, connection, oddity)

    async def _refuse_twice(self, connection, pause_s):
        """Refuse a request, and once more after ``pause_s`` seconds."""
        headers = [('X-Not-Run', '1'), *self._build_notices()]
        await connection.answer(503, headers=headers)
        await anyio.sleep(pause_s)
        await connection.answer(503, headers=headers)

    def _pop_oddity(self):
        for oddities in (self.oddities, self._common_oddities):
            if oddities:
                return oddities.popleft()
        return Oddity.NONE

    async def _run(self, request, connection, oddity):
        run = Run(request=request)
        self._common_runs.append(run)
        for fatal_request in self._fatal_requests:
            if fatal_request.matches(request):
                await anyio.sleep(fatal_request.after_s)
                self.crash()
                await anyio.sleep_forever()
        if isinstance(oddity, RawAnswer):
            await _answer_raw(request, connection, oddity)
            return
        if oddity in _HEAD_BYTES_BY_ODDITY:
            await connection.send(
                _PARTIAL_HEAD[: _HEAD_BYTES_BY_ODDITY[oddity]]
            )
            raise anyio.ClosedResourceError
        if oddity in _ERRORS_BY_ODDITY:
            status, body = _ERRORS_BY_ODDITY[oddity]
            await connection.answer(
                status,
                headers=self._build_headers(request, oddity),
                body=body,
            )
            return
        if oddity in _FLOODS_BY_ODDITY:
            prefix, chunk, pause_s = _FLOODS_BY_ODDITY[oddity]
            request_id = request.headers.get('x-request-id', '')
            prefix = prefix.replace(
                _REQUEST_ID_PLACEHOLDER, request_id.encode()
            )
            await _flood(connection, prefix, chunk, pause_s)
            return
        if 'text/event-stream' in request.headers.get('accept', ''):
            await self._stream(request, connection, oddity, run)
            return
        await anyio.sleep(self.work_s_by_body.get(request.body, self._work_s))
        body = b'answer of ' + self.replica_id.encode()
        headers = self._build_headers(request, oddity)
        await _ANSWERS_BY_ODDITY.get(oddity, _answer_whole)(
            connection, headers, body
        )

    def _build_notices(self):
        """Return the headers that describe the replica, not the request."""
        notices = []
        if self.is_leaving:
            notices.append(('Server-Leaving', '1'))
        if self.pause is not None:
            notices.append(('Retry-After', self.pause))
        if self.rate_limit is not None:
            notices.append(('Server-Limit', self.rate_limit))
        return notices

    def _build_headers(self, request, oddity):
        request_id = request.headers.get('x-request-id', '')
        headers = [
            ('X-Request-Id', request_id),
            ('X-Server-Seal', f'seal-{self.replica_id}'),
            ('X-Load', '1,0,4'),
            *self._build_notices(),
        ]
        if oddity is Oddity.OTHER_REQUEST:
            headers[0] = ('X-Request-Id', 'somebody-else')
        if oddity is Oddity.UNSIGNED:
            del headers[1]
        if oddity is Oddity.NO_REQUEST_ID:
            del headers[0]
        if oddity is Oddity.ENCODED:
            headers.append(('Content-Encoding', 'gzip'))
        return headers

    async def _stream(self, request, connection, oddity, run):
        first_number = int(request.headers.get('last-event-id', 0)) + 1
        headers = self._build_headers(request, oddity)
        headers.append(('Content-Type', 'text/event-stream'))
        is_unframed = oddity in (
            Oddity.UNFRAMED_STREAM,
            Oddity.UNFRAMED_TORN_EVENT,
        )
        if is_unframed:
            await self._stream_unframed(
                connection, headers, first_number, oddity
            )
            return
        headers.append(('Transfer-Encoding', 'chunked'))
        await connection.send_head(200, headers)
        for number in range(first_number, self.events + 1):
            if oddity is Oddity.SLOW_EVENTS:
                await self._delay_event(connection, run)
            await anyio.sleep(self._work_s)
            event = _build_event(number)
            half_count = self.events // 2
            is_torn = oddity in (Oddity.TORN_EVENT, Oddity.TORN_EVENT_ENDED)
            if is_torn and number > half_count:
                await connection.send_chunk(event[:9])
                break
            if oddity in _EVENT_FLOODS_BY_ODDITY and number > half_count:
                chunk, pause_s = _EVENT_FLOODS_BY_ODDITY[oddity]
                chunk = f'{len(chunk):x}\r\n'.encode() + chunk + b'\r\n'
                await _flood(connection, b'', chunk, pause_s)
                return
            await connection.send_chunk(event)
        if oddity is Oddity.DRIPPED_STREAM_END:
            await _flood(connection, b'0;x=', b'x', 0.05)
            return
        if oddity is Oddity.TORN_EVENT:
            await connection.reset()
            return
        await connection.send_chunk(b'')

    async def _stream_unframed(
        self, connection, headers, first_number, oddity
    ):
        """Send a stream that ends with its connection."""
        await connection.send_head(200, [*headers, ('Connection', 'close')])
        last_number = self.events
        if oddity is Oddity.UNFRAMED_TORN_EVENT:
            last_number //= 2
        for number in range(first_number, last_number + 1):
            await connection.send(_build_event(number))
        if oddity is Oddity.UNFRAMED_TORN_EVENT:
            await connection.send(_build_event(last_number + 1)[:9])
        raise anyio.ClosedResourceError

    async def _delay_event(self, connection, run):
        """Delay an event; reset and record it if the caller disconnects."""
        with anyio.move_on_after(0.3):
            await connection.wait_closed()
            run.was_cut = True
            await connection.reset()


def _build_event(number):
    return f'id: {number}\ndata: token-{number}\n\n'.encode()


async def _answer_whole(connection, headers, body):
    await connection.answer(200, headers=headers, body=body)


async def _reset(connection, headers, body):
    await connection.reset()


async def _send_nothing(connection, headers, body):
    await connection.wait_closed()


async def _truncate(connection, headers, body):
    length_header = ('Content-Length', str(len(body) + 5))
    await connection.send_head(200, [*headers, length_header])
    await connection.send(body)
    await connection.reset()


async def _answer_unframed(connection, headers, body):
    await connection.send_head(200, [*headers, ('Connection', 'close')])
    await connection.send(body)
    raise anyio.ClosedResourceError


async def _reset_unframed(connection, headers, body):
    await connection.send_head(200, [*headers, ('Connection', 'close')])
    await connection.send(body[:3])
    await anyio.sleep(0.05)
    await connection.reset()


async def _answer_twice(connection, headers, body):
    await connection.answer(200, headers=headers, body=body)
    await connection.answer(200, headers=headers, body=b'a second answer')


async def _send_invalid_http(connection, headers, body):
    await connection.send(b'\x00\x01 this is no answer\r\n\r\n')
    await connection.reset()


async def _answer_after_informational(connection, headers, body):
    await connection.send_head(103, [])
    await connection.answer(200, headers=headers, body=body)


async def _answer_raw(request, connection, answer):
    request_id = request.headers.get('x-request-id', '').encode()
    await connection.send(
        answer.data.replace(_REQUEST_ID_PLACEHOLDER, request_id)
    )
    if answer.closes:
        raise anyio.ClosedResourceError
    await connection.wait_closed()


async def _flood(connection, prefix, chunk, pause_s):
    """Send ``prefix``, then repeat ``chunk`` until the connection closes.

    ``pause_s`` is the interval between chunks in seconds.
    """
    try:
        await connection.send(prefix)
        while True:
            await connection.send(chunk)
            await anyio.sleep(pause_s)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
# Placeholder for the request id in the prefix of a flood.
_REQUEST_ID_PLACEHOLDER = b'{request-id}'
_SIGNED_HEAD = (
    _STATUS_LINE
    + b'X-Server-Seal: s\r\nX-Request-Id: '
    + _REQUEST_ID_PLACEHOLDER
    + b'\r\n'
)
_CHUNKED_HEAD = _SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# A head that a replica cuts off after a number of bytes by closing.
_PARTIAL_HEAD = _STATUS_LINE + b'X-Server-Seal: s\r\nContent-Length: 9\r\n\r\n'
_HEAD_BYTES_BY_ODDITY = {
    Oddity.CUT_STATUS_LINE: len(b'HTTP/1.1 20'),
    Oddity.CUT_FIELD_NAME: len(_STATUS_LINE + b'X-Serv'),
    Oddity.CUT_FIELD_VALUE: len(_PARTIAL_HEAD) - len(b'\r\n\r\n'),
    Oddity.CUT_BEFORE_BODY: len(_PARTIAL_HEAD),
}
_ERRORS_BY_ODDITY = {
    Oddity.ERROR: (500, b'failed'),
    Oddity.NOT_FOUND: (404, b'not found'),
    Oddity.REFUSE_UNPROVEN: (503, b''),
}
# Seconds between a refusal and its repetition.
_REPEATED_REFUSAL_PAUSES_S = {
    Oddity.REFUSE_TWICE: 0.0,
    Oddity.REFUSE_TWICE_LATE: 0.06,
}
_LARGE_FIELD = b'X-Field: ' + b'x' * 8192 + b'\r\n'
# For each fault: prefix, repeated chunk and interval in seconds.
_FLOODS_BY_ODDITY = {
    Oddity.ENDLESS_HEAD: (_STATUS_LINE, _LARGE_FIELD, 0.0),
    Oddity.ENDLESS_INFORMATIONAL: (
        b'',
        b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1000,
        0.0,
    ),
    Oddity.ENDLESS_NOISE: (b'', b'\x00\x01' * 32768, 0.0),
    Oddity.ENDLESS_BODY: (_SIGNED_HEAD + b'\r\n', b'x' * 65536, 0.0),
    Oddity.ENDLESS_CHUNK_SIZE: (_CHUNKED_HEAD + b'5;x=', b'x' * 65536, 0.0),
    Oddity.ENDLESS_TRAILERS: (_CHUNKED_HEAD + b'0\r\n', _LARGE_FIELD, 0.0),
    Oddity.DRIPPED_HEAD: (_STATUS_LINE, b'X-Field: x\r\n', 0.05),
    Oddity.DRIPPED_BODY: (
        _SIGNED_HEAD + b'Content-Length: 1000000\r\n\r\n',
        b'x',
        0.05,
    ),
    Oddity.DRIPPED_CHUNK_SIZE: (_CHUNKED_HEAD + b'5;x=', b'x', 0.05),
    Oddity.DRIPPED_TRAILERS: (
        _CHUNKED_HEAD + b'1\r\nx\r\n0\r\n',
        b'X-Field: x\r\n',
        0.05,
    ),
}
# For each fault of an event stream: repeated chunk and interval in seconds.
_EVENT_FLOODS_BY_ODDITY = {
    Oddity.ENDLESS_EVENT: (b'data: ' + b'x' * 65536, 0.0),
    Oddity.ENDLESS_COMMENTS: (b': x\n\n' * 1000, 0.0),
    Oddity.DRIPPED_EVENT: (b'data: x\n', 0.05),
}
_ANSWERS_BY_ODDITY = {
    Oddity.RESET_AFTER_RUN: _reset,
    Oddity.MUTE: _send_nothing,
    Oddity.TRUNCATE: _truncate,
    Oddity.UNFRAMED: _answer_unframed,
    Oddity.UNFRAMED_RESET: _reset_unframed,
    Oddity.EXTRA: _answer_twice,
    Oddity.NO_HTTP: _send_invalid_http,
    Oddity.INFORMATIONAL: _answer_after_informational,
}
