"""Split a stream of server-sent events into complete events."""

import dataclasses
import re

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import exceptions

_SEPARATOR = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_COMMENT = re.compile(rb'(?::[^\r\n]*[\r\n]+)+')
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """Hold one complete event.

    ``data`` includes the separator at its end. ``event_id`` is None if the
    event has no id.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    """Buffer received bytes and return complete events.

    Numeric ids must increase: an event is dropped if its id is not above that
    of the event before it. The first event is compared with ``last_event_id``.
    Comments are dropped too.
    """

    def __init__(self, *, last_event_id=None):
        self._buffer = bytearray()
        self._last_number = _to_number(last_event_id)
        self._bytes_since_event = 0

    @property
    def has_partial_event(self):
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self):
        """Return the size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Raise ``MalformedStream`` when more than ``EVENT_LIMIT_BYTES`` have
        arrived since the last event.
        """
        self._buffer += data
        completed = []
        start = 0
        while (match := _SEPARATOR.search(self._buffer, start)) is not None:
            event = self._build_event(bytes(self._buffer[start : match.end()]))
            start = match.end()
            if event is not None:
                completed.append(event)
        del self._buffer[:start]
        self._bytes_since_event = (
            0 if completed else self._bytes_since_event + len(data)
        )
        if self._bytes_since_event > conf.EVENT_LIMIT_BYTES:
            raise exceptions.MalformedStream('too many bytes for an event')
        return completed

    def _build_event(self, raw):
        if _COMMENT.fullmatch(raw):
            return None
        match = _ID_LINE.search(raw)
        if match is None:
            return StreamEvent(data=raw, event_id=None)
        event_id = match.group(1).decode('latin-1').strip()
        number = _to_number(event_id)
        if number is not None:
            if self._last_number is not None and number <= self._last_number:
                return None
            self._last_number = number
        return StreamEvent(data=raw, event_id=event_id)


def _to_number(event_id):
    """Return the number that an id consists of, or None."""
    if event_id is None or not event_id.isdecimal():
        return None
    if len(event_id) > conf.EVENT_NUMBER_DIGITS:
        return None
    return int(event_id)
