"""Write one line of key=value pairs for each event."""

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

# An entry serves some ten requests a second at today's sizes, with two or
# three lines each; ten times that still costs below a hundredth of a core.
LINES_PER_S = 300

LEVELS_BY_NAME = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


class LineFormatter(standard_logging.Formatter):
    """Put time and level before an event, and wrap lines of libraries."""

    def format(self, record):
        """Return the whole line of a record."""
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
    """Write lines to a file descriptor without ever waiting for a reader.

    Lines beyond ``lines_per_s``, and those that the descriptor does not
    take at once, are dropped; the next line that is written tells how many.
    """

    def __init__(
        self, descriptor, *, lines_per_s=LINES_PER_S, clock=time.monotonic
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._allowance = float(lines_per_s)
        self._refilled_s = clock()
        self._rest = b''
        self.dropped = 0

    def write(self, text):
        """Write ``text``, which ends with its line, or drop it."""
        if not text.strip():
            return
        if not self._flush_rest() or not self._take_allowance():
            self.dropped += 1
            return
        data = text.encode('utf-8', 'replace')
        if not data.endswith(b'\n'):
            data += b'\n'
        if self.dropped:
            line = format_line('lines_dropped', {'lines': self.dropped})
            data = f'{line}\n'.encode() + data
            self.dropped = 0
        self._rest = data
        self._flush_rest()

    def flush(self):
        """Write what is left of a line, as far as the reader takes it."""
        self._flush_rest()

    def close(self):
        """Write what is left; the descriptor stays open."""
        self._flush_rest()

    def _take_allowance(self):
        now_s = self._clock()
        earned = (now_s - self._refilled_s) * self._lines_per_s
        self._refilled_s = now_s
        self._allowance = min(self._allowance + earned, self._lines_per_s)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _flush_rest(self):
        """Return whether nothing is left to write."""
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone, and with it the only place to say so.
            self._rest = b''
            return True
        self._rest = self._rest[written:]
        return not self._rest


def set_up(level='info', *, stream=None):
    """Send the lines to ``stream``, from ``level`` on.

    Without a stream they go to standard error.
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
    """Log ``event`` with its fields in the order given."""
    number = LEVELS_BY_NAME[level]
    if logging.get_verbosity() < number:
        return
    logging.log(number, '%s', format_line(event, fields))


def write_fault(event, error, **fields):
    """Log an unexpected error with where it was raised."""
    trace = ''.join(traceback.format_exception(error))
    write_event(
        event,
        level='error',
        **fields,
        error=f'{type(error).__name__}: {error}',
        trace=trace[-_VALUE_LIMIT_CHARACTERS:],
    )


def format_line(event, fields):
    """Return the line for an event.

    Every value is quoted where it needs it, so that no value can end its
    line or pass for another field.
    """
    pairs = [f'event={format_value(event)}']
    pairs.extend(
        f'{key}={format_value(value)}' for key, value in fields.items()
    )
    return ' '.join(pairs)


def format_value(value):
    """Return one value as text that a parser can split off again."""
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.6g}'
    text = str(value)[:_VALUE_LIMIT_CHARACTERS]
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return '"' + ''.join(_escape(character) for character in text) + '"'


def _escape(character):
    known = _ESCAPES.get(character)
    if known is not None:
        return known
    if character.isprintable():
        return character
    return f'\\u{{{ord(character):x}}}'
