"""Split a stream of server-sent events."""

from savoryyoke_target import exceptions

SEPARATOR = b'\n\n'
DONE = b'data: [DONE]'
EVENT_LIMIT_BYTES = 64 * 1024


class EventSplitter:
    """Collect received bytes and hand out whole events.

    ``finished`` becomes true with the explicit end of the stream.
    """

    def __init__(self):
        self._rest = b''
        self.finished = False

    def feed(self, data):
        """Return the bytes of the whole events and how many there are.

        Raise ``AnswerLost`` for an event over the limit or events after the
        end of the stream.
        """
        whole, separator, self._rest = (self._rest + data).rpartition(
            SEPARATOR
        )
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise exceptions.AnswerLost('an event is too large')
        if not separator:
            return b'', 0
        if self.finished:
            raise exceptions.AnswerLost('events after the end')
        whole += separator
        if whole.endswith(DONE + SEPARATOR):
            self.finished = True
            whole = whole[: -len(DONE + SEPARATOR)]
        return whole, whole.count(SEPARATOR)
