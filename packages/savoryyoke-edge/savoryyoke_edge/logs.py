"""Log each event as one line of key=value pairs."""

import datetime
import logging as standard_logging
import os
import re
import sys
import time
import traceback

from absl import flags
from absl import logging

_PLAIN_VALUE = re.compile(r'[A-Za-z0-9_.:/@%+,\-\[\]]+')
_ESCAPES = {'"': '\\"', '\\': '\\\\', '\n': '\\n', '\r': '\\r', '\t': '\\t'}
_VALUE_LIMIT_CHARACTERS = 2048

# An entry serves about 10 requests a second and logs 2 or 3 lines for each.
# This limit is ten times that and costs less than 1 % of a core.
LINES_PER_S_LIMIT = 300

LEVELS_BY_NAME = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


class LineFormatter(standard_logging.Formatter):
    """Prefix lines with time and level; convert messages of libraries."""

    def format(self, record):
        """Return the complete log line of a record."""
        moment = datetime.datetime.fromtimestamp(
            record.created, tz=datetime.UTC
        )
        text = record.getMessage()
        if record.name != 'absl':
            fields = {'logger': record.name, 'message': text}
            text = format_line('library_message', fields)
        if record.exc_info:
            trace = ''.join(traceback.format_exception(*record.exc_info))
            text = f'{text} trace={format_value(trace)}'
        level = record.levelname.lower()
        return f'time={moment.isoformat()} level={level} {text}'


class BoundedStream:
    """Write lines to a file descriptor without blocking on its reader.

    Lines beyond ``lines_per_s`` are dropped, and so are lines that arrive
    while a previous line is not fully written. The next line written is
    preceded by the number of dropped lines.
    """

    def __init__(
        self,
        descriptor,
        *,
        lines_per_s=LINES_PER_S_LIMIT,
        clock=time.monotonic,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._tokens = float(lines_per_s)
        self._last_refill_s = clock()
        self._unwritten = b''
        self.dropped_lines = 0

    def write(self, text):
        """Write ``text`` as one line, or drop it."""
        if not text.strip():
            return
        if not self._flush_unwritten() or not self._consume_token():
            self.dropped_lines += 1
            return
        data = text.encode('utf-8', 'replace')
        if not data.endswith(b'\n'):
            data += b'\n'
        if self.dropped_lines:
            line = format_line('lines_dropped', {'lines': self.dropped_lines})
            data = f'{line}\n'.encode() + data
            self.dropped_lines = 0
        self._unwritten = data
        self._flush_unwritten()

    def flush(self):
        """Write the unwritten rest of a line as far as possible."""
        self._flush_unwritten()

    def close(self):
        """Write the unwritten rest; the descriptor stays open."""
        self._flush_unwritten()

    def _consume_token(self):
        now_s = self._clock()
        new_tokens = (now_s - self._last_refill_s) * self._lines_per_s
        self._last_refill_s = now_s
        self._tokens = min(self._tokens + new_tokens, self._lines_per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush_unwritten(self):
        """Write as much as possible; return whether nothing remains."""
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe, so there is nowhere to log this.
            self._unwritten = b''
            return True
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def set_up(level='info', *, stream=None):
    """Send log lines of ``level`` and above to ``stream``.

    Without a stream, write them to standard error.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS_BY_NAME[level])
    logging.set_stderrthreshold('debug' if stream is None else 'fatal')
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(LineFormatter())
    standard_logging.getLogger('uvicorn').setLevel(standard_logging.WARNING)


def write_event(event, *, level='info', **fields):
    """Log ``event`` with its fields in the given order."""
    severity = LEVELS_BY_NAME[level]
    if logging.get_verbosity() < severity:
        return
    logging.log(severity, '%s', format_line(event, fields))


def write_exception(event, error, **fields):
    """Log an unexpected error with its traceback."""
    trace = ''.join(traceback.format_exception(error))
    write_event(
        event,
        level='error',
        **fields,
        error=f'{type(error).__name__}: {error}',
        trace=trace[-_VALUE_LIMIT_CHARACTERS:],
    )


def format_line(event, fields):
    """Return the log line of an event.

    Values are quoted where necessary, so that no value can contain a line
    break or be mistaken for another field.
    """
    pairs = [f'event={format_value(event)}']
    pairs.extend(
        f'{key}={format_value(value)}' for key, value in fields.items()
    )
    return ' '.join(pairs)


def join_digests(digests):
    """Return digests as one value, in an order that does not vary."""
    return ','.join(sorted(digest.hex() for digest in digests))


def format_value(value):
    """Return a value as text, quoted if it is not plain."""
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.6g}'
    text = str(value)[:_VALUE_LIMIT_CHARACTERS]
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return '"' + ''.join(_escape(character) for character in text) + '"'


def _escape(character):
    escape = _ESCAPES.get(character)
    if escape is not None:
        return escape
    if character.isprintable():
        return character
    return f'\\u{{{ord(character):x}}}'
