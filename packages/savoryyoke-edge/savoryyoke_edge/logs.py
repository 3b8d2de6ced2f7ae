"""Write one line of key=value pairs for each event."""

import datetime
import logging as standard_logging
import re
import sys
import traceback

from absl import flags
from absl import logging

_PLAIN_VALUE = re.compile(r'[A-Za-z0-9_.:/@%+,\-\[\]]+')
_ESCAPES = {'"': '\\"', '\\': '\\\\', '\n': '\\n', '\r': '\\r', '\t': '\\t'}
_VALUE_LIMIT_CHARACTERS = 2048

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


def set_up(level='info'):
    """Send the lines to standard error, from ``level`` on."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS_BY_NAME[level])
    logging.set_stderrthreshold('debug')
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(LineFormatter())
    standard_logging.getLogger('uvicorn').setLevel(standard_logging.WARNING)


def write_event(event, *, level='info', **fields):
    """Log ``event`` with its fields in the order given."""
    number = LEVELS_BY_NAME[level]
    if logging.get_verbosity() < number:
        return
    logging.log(number, '%s', format_line(event, fields))


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
