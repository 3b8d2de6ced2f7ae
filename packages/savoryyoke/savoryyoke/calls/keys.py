"""Bind the key of a non-idempotent call to one incarnation of one target.

The text form is ``sy1~target~incarnation~window~suffix``. The caller gets
the first four parts as a binding and appends ``~`` and a unique suffix.
"""

import dataclasses
import re

from savoryyoke.calls import exceptions

KEY_LIMIT_CHARACTERS = 255
SUFFIX_LIMIT_CHARACTERS = 128
WINDOW_LIMIT = 2**48
INCARNATION_LIMIT = 2**64

_VERSION = 'sy1'
_SEPARATOR = '~'
_VISIBLE_PATTERN = re.compile(r'[\x21-\x7d]+')
_INCARNATION_PATTERN = re.compile(r'[0-9a-f]{16}')
_WINDOW_PATTERN = re.compile(r'0|[1-9][0-9]{0,14}')


def _check_characters(text, *, name):
    if not _VISIBLE_PATTERN.fullmatch(text):
        raise exceptions.InvalidKey(
            reason=f'{name} must be visible ASCII without {_SEPARATOR}'
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Binding:
    """Identify the process that may run the keys made from this binding.

    ``incarnation`` is the random 64-bit number of the process. ``window``
    is the number of the window in which the binding was issued, counted on
    the monotonic clock of that process.
    """

    service: str
    target_id: str
    incarnation: int
    window: int

    def format(self):
        """Return the text that a caller puts before ``~`` and a suffix."""
        return _SEPARATOR.join(
            (
                _VERSION,
                self.target_id,
                f'{self.incarnation:016x}',
                str(self.window),
            )
        )

    def bind(self, *, suffix):
        """Return the key of this binding with the caller's ``suffix``."""
        return BoundKey(
            target_id=self.target_id,
            incarnation=self.incarnation,
            window=self.window,
            suffix=suffix,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class BoundKey:
    """Identify a call and the only process that may ever run it.

    Raises ``InvalidKey`` when a part is out of its limits.
    """

    target_id: str
    incarnation: int
    window: int
    suffix: str

    def __post_init__(self):
        """Check the limits of each part."""
        _check_characters(self.target_id, name='target')
        _check_characters(self.suffix, name='suffix')
        if not 0 <= self.incarnation < INCARNATION_LIMIT:
            raise exceptions.InvalidKey(reason='incarnation out of range')
        if not 0 <= self.window < WINDOW_LIMIT:
            raise exceptions.InvalidKey(reason='window out of range')
        if len(self.suffix) > SUFFIX_LIMIT_CHARACTERS:
            raise exceptions.InvalidKey(reason='suffix too long')
        if len(self.format()) > KEY_LIMIT_CHARACTERS:
            raise exceptions.InvalidKey(reason='key too long')

    def format(self):
        """Return the text of the key, at most 255 characters."""
        return _SEPARATOR.join(
            (
                _VERSION,
                self.target_id,
                f'{self.incarnation:016x}',
                str(self.window),
                self.suffix,
            )
        )


def parse(text):
    """Return the ``BoundKey`` whose text form is ``text``.

    Each key has exactly one text form. Raises ``InvalidKey`` for any other
    text, also for a key without a binding.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != 5 or parts[0] != _VERSION:
        raise exceptions.InvalidKey(reason='key carries no binding')
    _, target_id, incarnation, window, suffix = parts
    if not _INCARNATION_PATTERN.fullmatch(incarnation):
        raise exceptions.InvalidKey(reason='incarnation is not 16 hex digits')
    if not _WINDOW_PATTERN.fullmatch(window):
        raise exceptions.InvalidKey(reason='window is not a plain number')
    return BoundKey(
        target_id=target_id,
        incarnation=int(incarnation, 16),
        window=int(window),
        suffix=suffix,
    )
