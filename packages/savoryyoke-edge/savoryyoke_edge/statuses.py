"""Check the statuses of answers from outside, for all HTTP clients.

The HTTP library accepts final statuses up to 999, and after an informational
answer it waits for a final one even if a body follows instead. The check reads
the raw bytes, so that an invalid answer fails as soon as it is certain that no
valid one can follow.
"""

from savoryyoke_edge import exceptions

_DIGITS = b'0123456789'
# The bytes that are allowed at each position of a status line, up to the one
# after the status.
_STATUS_LINE = (
    *(bytes((byte,)) for byte in b'HTTP/'),
    _DIGITS,
    b'.',
    _DIGITS,
    b' ',
    b'12345',
    _DIGITS,
    _DIGITS,
    b' \r\n',
)
_STATUS = slice(9, 12)
_SWITCHING_PROTOCOLS = b'101'
_FINAL_CLASSES = b'2345'

# Limit on a header line of an informational answer, the same as that of the
# HTTP library on a whole head.
_LINE_LIMIT_BYTES = 100 * 1024


class InvalidStatus(exceptions.RemoteProtocolError):
    """Report an answer whose status is invalid."""


class StatusCheck:
    """Check the status lines of one answer as its bytes arrive.

    A status consists of exactly three digits. A final one lies between 200
    and 599. One between 100 and 199 is informational: the answer has no body,
    and a final answer must follow. 101 is invalid, because no client here
    asks for another protocol.
    """

    def __init__(self):
        self._line = bytearray()
        self._is_in_fields = False
        self._is_passed = False

    @property
    def is_passed(self):
        """Return whether the status line of the final answer was valid."""
        return self._is_passed

    def feed(self, data):
        """Check further bytes; raise ``InvalidStatus`` if they are invalid.

        Bytes after the final status line are ignored.
        """
        for part in _split_lines(data):
            if self._is_passed:
                return
            self._line += part
            if self._is_in_fields:
                self._check_field()
            else:
                self._check_status_line()

    def _check_status_line(self):
        line = self._line
        for byte, allowed_bytes in zip(line, _STATUS_LINE):
            if byte not in allowed_bytes:
                raise InvalidStatus(f'status line {bytes(line[:40])!r}')
        status = bytes(line[_STATUS])
        if status == _SWITCHING_PROTOCOLS:
            raise InvalidStatus('status 101 without an upgrade')
        if len(line) < len(_STATUS_LINE):
            return
        if status[0] in _FINAL_CLASSES:
            self._is_passed = True
        elif line.endswith(b'\n'):
            self._is_in_fields = True
            line.clear()

    def _check_field(self):
        line = self._line
        if not line.endswith(b'\n'):
            if len(line) > _LINE_LIMIT_BYTES:
                raise InvalidStatus('endless line of an informational answer')
            return
        name, _, value = bytes(line).partition(b':')
        if _announces_body(name.strip().lower(), value.strip()):
            raise InvalidStatus('informational answer with a body')
        if not line.strip(b'\r\n'):
            self._is_in_fields = False
        line.clear()


def _split_lines(data):
    """Yield the parts of ``data``, each up to and including a line end."""
    start = 0
    while start < len(data):
        end = data.find(b'\n', start) + 1 or len(data)
        yield data[start:end]
        start = end


def _announces_body(name, value):
    """Return whether a header field says that a body follows.

    A length of zero does not, although it is not allowed there either.
    """
    if name == b'content-length':
        return value.strip(b'0') != b''
    return name == b'transfer-encoding'
