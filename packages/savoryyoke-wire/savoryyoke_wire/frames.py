"""Split a byte stream into length-prefixed frames."""

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions


def build_frame(packed):
    """Return ``packed`` with its length, 32 bits big-endian, in front."""
    return len(packed).to_bytes(conf.FRAME_LENGTH_BYTES, 'big') + packed


class FrameSplitter:
    """Buffer received bytes and split them into complete frames.

    The buffer holds at most one incomplete frame between calls.
    """

    def __init__(self, *, limit_bytes=conf.FRAME_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._is_preface_removed = False

    def feed(self, data):
        """Add received bytes and return the frames that they complete.

        Raise ``MalformedMessage`` if the stream does not start with
        ``conf.PREFACE``, and ``LimitExceeded`` for a frame over the limit.
        """
        self._buffer += data
        if not self._is_preface_removed and not self._remove_preface():
            return []
        frames = []
        position = 0
        while True:
            frame_end = self._find_frame_end(position)
            if frame_end is None:
                break
            start = position + conf.FRAME_LENGTH_BYTES
            frames.append(bytes(self._buffer[start:frame_end]))
            position = frame_end
        del self._buffer[:position]
        return frames

    def _remove_preface(self):
        length = len(conf.PREFACE)
        if not conf.PREFACE.startswith(bytes(self._buffer[:length])):
            raise exceptions.MalformedMessage(
                'the stream does not start with the protocol preface'
            )
        if len(self._buffer) < length:
            return False
        del self._buffer[:length]
        self._is_preface_removed = True
        return True

    def _find_frame_end(self, position):
        start = position + conf.FRAME_LENGTH_BYTES
        if len(self._buffer) < start:
            return None
        length = int.from_bytes(self._buffer[position:start], 'big')
        if length > self._limit_bytes:
            raise exceptions.LimitExceeded(
                f'frame of {length} bytes is too long'
            )
        if len(self._buffer) < start + length:
            return None
        return start + length
