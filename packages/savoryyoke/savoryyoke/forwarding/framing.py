"""Split a stream of server-sent events into whole events."""

import dataclasses
import re

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import exceptions

_SEPARATOR = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_COMMENT = re.compile(rb'(?::[^\r\n]*[\r\n]+)+')
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """Hold one whole event with its separator; ``event_id`` may be None."""

    data: bytes
    event_id: str | None


class EventSplitter:
    """Collect bytes and hand out whole events.

    Ids are numbers that grow; an event with an id that was handed out
    before is dropped, and so are comments.
    """

    def __init__(self, *, after=None):
        self._buffer = bytearray()
        self._last_number = _to_number(after)
        self._idle_bytes = 0

    @property
    def has_rest(self):
        """Return whether part of an event has been received."""
        return bool(self._buffer.strip())

    def feed(self, data):
        """Take received bytes and return the events that they complete.

        Raise ``MalformedStream`` where more bytes than an event may have
        bring none.
        """
        self._buffer += data
        completed = []
        start = 0
        while (match := _SEPARATOR.search(self._buffer, start)) is not None:
            event = self._build(bytes(self._buffer[start : match.end()]))
            start = match.end()
            if event is not None:
                completed.append(event)
        del self._buffer[:start]
        self._idle_bytes = 0 if completed else self._idle_bytes + len(data)
        if self._idle_bytes > conf.EVENT_LIMIT_BYTES:
            raise exceptions.MalformedStream('too many bytes for an event')
        return completed

    def _build(self, raw):
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
    if event_id is None or not event_id.isdecimal():
        return None
    return int(event_id)
