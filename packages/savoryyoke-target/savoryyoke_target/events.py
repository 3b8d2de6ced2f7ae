"""Split a stream of server-sent events."""

from savoryyoke_target import exceptions

SEPARATOR = b'\n\n'
END_MARKER = b'data: [DONE]'
EVENT_LIMIT_BYTES = 64 * 1024


class EventSplitter:
    """Collect received bytes and return complete events.

    ``finished`` becomes true when the end marker of the stream arrives.
    """

    def __init__(self):
        self._incomplete_event = b''
        self.finished = False

    def feed(self, data):
        """Return the bytes of the complete events and the number of events.

        The end marker is left out. Raise ``AnswerLost`` if an incomplete
        event exceeds ``EVENT_LIMIT_BYTES`` or events follow the end marker.
        """
        complete_events, separator, self._incomplete_event = (
            self._incomplete_event + data
        ).rpartition(SEPARATOR)
        if len(self._incomplete_event) > EVENT_LIMIT_BYTES:
            raise exceptions.AnswerLost('an event is too large')
        if not separator:
            return b'', 0
        if self.finished:
            raise exceptions.AnswerLost('events after the end')
        complete_events += separator
        if complete_events.endswith(END_MARKER + SEPARATOR):
            self.finished = True
            complete_events = complete_events[: -len(END_MARKER + SEPARATOR)]
        return complete_events, complete_events.count(SEPARATOR)
