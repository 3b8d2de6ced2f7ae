"""Apply limits to callers' input while it arrives, before it is stored.

uvicorn's parser stays in use. It is fed in pieces that end where a head, a
body or a request ends, so that each limit is checked before further bytes are
parsed.
"""

import asyncio
import enum
import random
import time

import httptools
from uvicorn.protocols.http import flow_control

from savoryyoke.forwarding import exceptions as forwarding_exceptions
from savoryyoke.intake import budget as intake_budget
from savoryyoke.intake import conf as intake_conf

from savoryyoke_edge import logs
from savoryyoke_edge import servers

# Bytes that are read at once. Each is parsed before another connection has
# its turn, so reads are small where bytes are costly to parse.
_READ_BYTES = 16 * 1024
_BODY_READ_BYTES = 64 * 1024
# Bytes of a head that are parsed before its lines are counted.
_HEAD_PIECE_BYTES = 4096
# All connections read into the same memory, since its content is used before
# the next read.
_READ_MEMORY = memoryview(bytearray(_BODY_READ_BYTES))
_READ_VIEW = _READ_MEMORY[:_READ_BYTES]

# An unread answer counts against the budget from this size on.
_UNSENT_BYTES = 16 * 1024

# A refused caller that still sends would lose the answer if its connection
# were closed at once. Its bytes are dropped for this time and size.
_LINGER_S = 1.0
_LINGER_BYTES = 16 * 1024 * 1024

_LOG_INTERVAL_S = 1.0
_EMPTY_LINE = b'\r\n\r\n'
_REASONS_BY_STATUS = {
    400: b'Bad Request',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    503: b'Service Unavailable',
}


class RefusalLog:
    """Count refused input by its cause and log it.

    Write one line per cause and second at most, with the number of those that
    were left out since the last line. ``count(cause)`` adds to a counter.
    """

    def __init__(self, *, count=lambda cause: None, clock=time.monotonic):
        self._count = count
        self._clock = clock
        self._last_s_by_cause = {}
        self._omitted_by_cause = {}

    def record(self, cause, *, status):
        """Record one refusal; ``status`` is 0 without an answer."""
        self._count(cause)
        now_s = self._clock()
        last_s = self._last_s_by_cause.get(cause)
        if last_s is not None and now_s - last_s < _LOG_INTERVAL_S:
            self._omitted_by_cause[cause] += 1
            return
        logs.write_event(
            'input_refused',
            level='warning',
            cause=cause,
            status=status,
            omitted=self._omitted_by_cause.get(cause, 0),
        )
        self._last_s_by_cause[cause] = now_s
        self._omitted_by_cause[cause] = 0


class Intake:
    """Hold the limits that all connections of a process share.

    ``budget`` is a ``ByteBudget``, ``connections`` a ``ConnectionTable`` and
    ``answers`` the ``BufferAccount`` of all answers. ``header_bytes`` and
    ``body_bytes`` are those of the configuration in force, ``idle_s`` is how
    long a body or an answer may make no progress.
    """

    def __init__(self, *, budget, connections, answers, refusals, idle_s):
        self.budget = budget
        self.connections = connections
        self.answers = answers
        self.refusals = refusals
        self.idle_s = idle_s
        self.header_bytes = intake_conf.HEADER_BYTES
        self.body_bytes = intake_conf.BODY_BYTES


class _Stage(enum.Enum):
    HEAD = enum.auto()
    BODY = enum.auto()
    # The request is complete, its answer is not.
    SERVING = enum.auto()


class _DroppedLines(list):
    """Take the trailers, which nobody uses, and keep none."""

    def append(self, line):
        """Drop a line."""


_TRAILERS = _DroppedLines()


class _HoldableFlow(flow_control.FlowControl):
    """Keep reading paused while a pipelined request is held."""

    is_held = False

    def resume_reading(self):
        """Resume reading unless a pipelined request is held."""
        if not self.is_held:
            super().resume_reading()


class BoundedInputProtocol(
    servers.HeaderTimeoutProtocol, asyncio.BufferedProtocol
):
    """Limit what a connection makes the process hold.

    Subclasses set ``intake`` to the ``Intake`` of the process.
    """

    intake = None

    _stage = _Stage.HEAD
    _has_begun = False
    _is_ending = False
    _is_counted = False
    # A status and a cause that a callback of the parser has found.
    _fault = None
    _blank_bytes = 0
    _head_bytes = 0
    _body_bytes = 0
    # Bytes of the body that are still to come, None if it is chunked.
    _remaining_bytes = None
    # Bytes of a chunked body that the parser was fed beyond its content.
    _framing_bytes = 0
    _chunks = 0
    _discarded_bytes = 0
    _tail = b''
    _held = b''
    _unsent = None
    _unsent_timer = None
    _body_timer = None
    _linger_timer = None

    def connection_made(self, transport):
        """Account for a new connection, in place of another if necessary."""
        super().connection_made(transport)
        self.flow = _HoldableFlow(transport)
        transport.set_write_buffer_limits(high=_UNSENT_BYTES)
        self._account = intake_budget.Account(owner=self)
        self._is_counted = True
        self.intake.connections.open(self)
        if self.intake.connections.is_over_limit:
            self._make_room()

    def connection_lost(self, exc):
        """Forget the connection and all that it held."""
        self._leave()
        self.intake.budget.release(self._account)
        self._release_unsent()
        self._held = b''
        for timer in (self._body_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        super().connection_lost(exc)

    def get_buffer(self, sizehint):
        """Return the memory to read into."""
        if self._remaining_bytes or self._is_ending:
            return _READ_MEMORY
        return _READ_VIEW

    def buffer_updated(self, nbytes):
        """Use bytes that have been read."""
        if self._is_ending:
            self._discard(nbytes)
            return
        data = bytes(_READ_MEMORY[:nbytes])
        if self._held:
            self._hold(self._held + data)
        else:
            self._take(data)

    def pause_writing(self):
        """Account for the part of an answer that the caller has not read."""
        super().pause_writing()
        self._release_unsent()
        self._unsent = self.intake.answers.open()
        self._watch_unsent(None)

    def resume_writing(self):
        """Release an answer once the caller has read nearly all of it."""
        super().resume_writing()
        self._release_unsent()
        if self._stage is _Stage.HEAD and self._is_counted:
            self.intake.connections.wait(self)

    def on_headers_complete(self):
        """Check the head as a whole; find out how long the body is."""
        self._stage = _Stage.BODY
        self.intake.connections.begin_request(self)
        if len(self.headers) > intake_conf.HEAD_LINES_LIMIT:
            self._fault = (431, 'head-lines')
            return
        self._remaining_bytes = 0
        for name, value in self.headers:
            if name == b'content-length':
                self._remaining_bytes = int(value)
            elif name == b'transfer-encoding':
                self._remaining_bytes = None
                break
        if (self._remaining_bytes or 0) > self.intake.body_bytes:
            self._fault = (413, 'body-bytes')
            return
        super().on_headers_complete()
        self._head_bytes += intake_conf.LINE_BYTES * len(self.headers)
        # The application has the list of headers. The parser would add the
        # trailers to it.
        self.headers = _TRAILERS

    def on_chunk_header(self):
        """Allow the framing of one more chunk."""
        self._chunks += 1

    def on_body(self, body):
        """Limit the body before it is stored."""
        self._body_bytes += len(body)
        if self._fault is not None:
            return
        if self._body_bytes > self.intake.body_bytes:
            self._fault = (413, 'body-bytes')
            return
        super().on_body(body)

    def on_message_complete(self):
        """Keep the request from now on, whatever the budget is."""
        if self._fault is not None:
            return
        super().on_message_complete()
        if self.cycle.response_complete:
            # The application has answered without reading the body.
            self._wait_for_request()
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )
            return
        self._stage = _Stage.SERVING
        self.intake.budget.protect(self._account)

    def on_response_complete(self):
        """Go on with the next request of the connection."""
        self.flow.is_held = False
        super().on_response_complete()
        if self._stage is _Stage.SERVING and not self.transport.is_closing():
            self._wait_for_request()

    def give_up(self):
        """Close this connection at once, so that others have a descriptor.

        Call this only while no request is complete.
        """
        if self._is_ending or not self._has_begun:
            if not self._is_ending:
                self.intake.refusals.record('idle-closed', status=0)
            self._leave()
            self.transport.abort()
            return
        self.refuse(408, 'descriptors', lingers=False)

    def refuse(self, status, cause, *, lingers=True):
        """Refuse the request that arrives, which never runs, and close."""
        if self._is_ending:
            return
        self._is_ending = True
        self.intake.refusals.record(cause, status=status)
        self._unset_keepalive_if_required()
        self._stop_timer()
        self.intake.budget.release(self._account)
        cycle = self.cycle
        # The request may have no cycle yet; that of the last one is complete.
        has_cycle = cycle is not None and not cycle.response_complete
        has_answer = has_cycle and cycle.response_started
        if has_cycle:
            cycle.disconnected = True
            cycle.waiting_for_100_continue = False
            cycle.body = bytearray()
            cycle.message_event.set()
        # What the parser has kept is not needed while the connection lingers.
        self.parser = None
        self.headers = self.scope = None
        if not has_answer:
            self.transport.write(_build_refusal(status))
        if has_answer or not lingers or self.transport.is_closing():
            self._leave()
            self.transport.close()
            return
        self.flow.is_held = False
        self.flow.resume_reading()
        if self._is_counted:
            self.intake.connections.wait(self)
        self._linger_timer = self.loop.call_later(
            _LINGER_S, self.transport.abort
        )
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def _make_room(self):
        """Close another connection, or refuse this one."""
        victim = self.intake.connections.find_oldest_waiting(besides=self)
        if victim is None:
            account = self.intake.budget.find_oldest()
            victim = account and account.owner
        if victim is None:
            self.refuse(503, 'connections', lingers=False)
        else:
            victim.give_up()

    def _leave(self):
        """Stop counting the connection; its descriptor is closed soon."""
        if self._is_counted:
            self._is_counted = False
            self.intake.connections.close(self)

    def _discard(self, size_bytes):
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _LINGER_BYTES:
            self.transport.abort()

    def _hold(self, data):
        """Keep bytes of a pipelined request and read no further."""
        self._held = data
        self.flow.is_held = True
        self.flow.pause_reading()
        self._record_size()

    def _take(self, data):
        """Parse bytes until they end or a request is complete."""
        position = 0
        while position < len(data):
            if self._stage is _Stage.SERVING:
                self._hold(data[position:])
                return
            position = self._parse_next(data, position)
            if self._is_ending or self.transport.is_closing():
                return
        self._record_size()
        if self._stage is _Stage.BODY and self._body_timer is None:
            self._watch_body(self._body_bytes)

    def _parse_next(self, data, position):
        """Parse the next piece of ``data``; return where it ends."""
        if self._stage is _Stage.HEAD:
            if not self._has_begun:
                position = self._skip_empty_lines(data, position)
                if position == len(data) or self._is_ending:
                    return position
                self._has_begun = True
                # Empty lines alone don't keep an idle connection open.
                self._unset_keepalive_if_required()
            return self._parse_head(data, position)
        if self._remaining_bytes is None:
            return self._parse_chunks(data, position)
        end = min(position + self._remaining_bytes, len(data))
        self._remaining_bytes -= end - position
        self._feed(data, position, end)
        return end

    def _skip_empty_lines(self, data, position):
        """Return where the request line begins, and limit what is before."""
        if data[position] not in b'\r\n':
            return position
        rest = data[position:].lstrip(b'\r\n')
        start = len(data) - len(rest)
        self._blank_bytes += start - position
        if self._blank_bytes > intake_conf.BLANK_BYTES_LIMIT:
            self.refuse(400, 'empty-lines')
        return start

    def _parse_head(self, data, position):
        limit_bytes = self.intake.header_bytes + intake_conf.HEAD_SLACK_BYTES
        piece_bytes = min(limit_bytes - self._head_bytes, _HEAD_PIECE_BYTES)
        stop = min(position + piece_bytes, len(data))
        end = self._find_end(data, position, stop)
        self._head_bytes += end - position
        self._feed(data, position, end)
        if self._is_ending or self._stage is not _Stage.HEAD:
            return end
        if self._head_bytes >= limit_bytes:
            self.refuse(431, 'head-bytes')
        elif len(self.headers) > intake_conf.HEAD_LINES_LIMIT:
            self.refuse(431, 'head-lines')
        return end

    def _parse_chunks(self, data, position):
        end = self._find_end(data, position, len(data))
        body_bytes = self._body_bytes
        self._feed(data, position, end)
        if self._is_ending or self._stage is not _Stage.BODY:
            return end
        self._framing_bytes += end - position - self._body_bytes + body_bytes
        allowance_bytes = (
            intake_conf.FRAMING_BYTES_LIMIT
            + intake_conf.CHUNK_BYTES * self._chunks
        )
        if self._framing_bytes > allowance_bytes:
            self.refuse(431, 'framing')
        return end

    def _find_end(self, data, position, stop):
        """Return where the next empty line ends, or ``stop``.

        A head ends there, and so does a chunked body. The line may have begun
        in bytes that were parsed before.
        """
        if self._tail:
            tail_bytes = len(self._tail)
            joined = self._tail + data[position : min(position + 3, stop)]
            index = joined.find(_EMPTY_LINE)
            if index >= 0:
                self._tail = b''
                return position + index + 4 - tail_bytes
        index = data.find(_EMPTY_LINE, position, stop)
        if index >= 0:
            self._tail = b''
            return index + 4
        self._tail = (self._tail + data[max(position, stop - 3) : stop])[-3:]
        return stop

    def _feed(self, data, position, end):
        """Pass a piece of ``data`` to the parser."""
        if end - position != len(data):
            data = data[position:end]
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade.
            self.intake.refusals.record('upgrade', status=0)
        except httptools.HttpParserError:
            self.refuse(400, 'malformed')
            return
        if self._fault is not None:
            status, cause = self._fault
            self.refuse(status, cause)

    def _record_size(self):
        """Account for what is held; close others if it is too much."""
        size_bytes = self._head_bytes + self._body_bytes + len(self._held)
        if self._stage is _Stage.HEAD and self._has_begun:
            size_bytes += intake_conf.LINE_BYTES * len(self.headers)
        for victim in self.intake.budget.resize(self._account, size_bytes):
            victim.owner.refuse(503, 'budget')

    def _wait_for_request(self):
        """Forget a request that has been answered."""
        self._stage = _Stage.HEAD
        self._has_begun = False
        self._blank_bytes = self._head_bytes = self._body_bytes = 0
        self._framing_bytes = self._chunks = 0
        self._remaining_bytes = None
        self._tail = b''
        self.intake.budget.release(self._account)
        if self._unsent is None and self._is_counted:
            self.intake.connections.wait(self)
        if self._held:
            self._record_size()
            self.loop.call_soon(self._take_held)

    def _take_held(self):
        """Parse the bytes that were held during the last request."""
        if self._is_ending or self.transport.is_closing():
            return
        data, self._held = self._held, b''
        self._take(data)

    def _watch_body(self, seen_bytes):
        """Refuse a body that makes no progress for the idle time."""
        self._body_timer = self.loop.call_later(
            self.intake.idle_s, self._check_body, seen_bytes
        )

    def _check_body(self, seen_bytes):
        self._body_timer = None
        if self._stage is not _Stage.BODY or self._is_ending:
            return
        if self._body_bytes == seen_bytes:
            self.refuse(408, 'body-stalled')
        else:
            self._watch_body(self._body_bytes)

    def _watch_unsent(self, last_bytes):
        """Close a connection whose caller reads nothing for the idle time."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes == last_bytes:
            self.intake.refusals.record('answer-not-read', status=0)
            self.transport.abort()
            return
        try:
            self._unsent.resize(unsent_bytes)
        except forwarding_exceptions.BuffersFull:
            # It counts nevertheless: further answers get less room.
            pass
        self._unsent_timer = self.loop.call_later(
            self.intake.idle_s, self._watch_unsent, unsent_bytes
        )

    def _release_unsent(self):
        if self._unsent is not None:
            self._unsent.release()
            self._unsent = None
            self._unsent_timer.cancel()


def _build_refusal(status):
    """Return a complete answer without a body that ends the connection.

    The retry time varies, so that refused callers don't return together.
    """
    lines = [
        b'HTTP/1.1 %d %s' % (status, _REASONS_BY_STATUS[status]),
        b'content-length: 0',
        b'connection: close',
    ]
    if status == 503:
        retry_after_s = 0.2 + 0.4 * random.random()
        lines.append(f'retry-after: {retry_after_s:.3f}'.encode())
    return b'\r\n'.join([*lines, b'', b''])
