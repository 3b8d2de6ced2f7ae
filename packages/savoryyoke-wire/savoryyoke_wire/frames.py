"""Split a byte stream into length-prefixed frames."""

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions


def build_frame(packed):
    """Return ``packed`` behind its length as a big-endian 32-bit number."""
    return len(packed).to_bytes(conf.FRAME_LENGTH_BYTES, 'big') + packed


class FrameSplitter:
    """Collect received bytes and hand out whole frames.

    It holds at most one frame and what was received with it.
    """

    def __init__(self, *, limit_bytes=conf.FRAME_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._preface_seen = False

    def feed(self, data):
        """Take received bytes and return the frames that they complete.

        Raise ``MalformedMessage`` where the stream does not start with the
        protocol's preface, and ``LimitExceeded`` for a frame over the limit.
        """
        self._buffer += data
        if not self._preface_seen and not self._take_preface():
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

    def _take_preface(self):
        length = len(conf.PREFACE)
        if not conf.PREFACE.startswith(bytes(self._buffer[:length])):
            raise exceptions.MalformedMessage('the preface is missing')
        if len(self._buffer) < length:
            return False
        del self._buffer[:length]
        self._preface_seen = True
        return True

    def _find_frame_end(self, position):
        start = position + conf.FRAME_LENGTH_BYTES
        if len(self._buffer) < start:
            return None
        length = int.from_bytes(self._buffer[position:start], 'big')
        if length > self._limit_bytes:
            raise exceptions.LimitExceeded(f'frame of {length} bytes')
        if len(self._buffer) < start + length:
            return None
        return start + length
