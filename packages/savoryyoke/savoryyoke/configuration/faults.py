"""Faults of the operators' file.

Each has a stable identifier, a path in the file and a hint.
"""

import dataclasses
import enum
import re

from savoryyoke.configuration import conf

_PLAIN_KEY = re.compile(r'[A-Za-z0-9_-]+')

TOO_LARGE = 'savoryyoke.E101'
SYNTAX = 'savoryyoke.E102'
DUPLICATE_KEY = 'savoryyoke.E103'
ALIAS = 'savoryyoke.E104'
TAG = 'savoryyoke.E105'
KEY_NOT_SCALAR = 'savoryyoke.E106'
TOO_DEEP = 'savoryyoke.E107'
NOT_A_MAPPING = 'savoryyoke.E108'

UNKNOWN_NAME = 'savoryyoke.E110'
FIXED_FIELD = 'savoryyoke.E111'
MAPPING_MISMATCH = 'savoryyoke.E112'
NOTHING_TO_DELETE = 'savoryyoke.E113'
NAME_DELETED = 'savoryyoke.E114'

UNKNOWN_VERSION = 'savoryyoke.E120'
MISSING = 'savoryyoke.E121'
UNKNOWN_FIELD = 'savoryyoke.E122'
INVALID = 'savoryyoke.E123'

ROUTE_OVERLAP = 'savoryyoke.E130'
SHARED_API_KEY = 'savoryyoke.E131'
UNKNOWN_DEFAULT = 'savoryyoke.E132'
INITIAL_ABOVE_MAXIMUM = 'savoryyoke.E133'
ALL_DATA_CENTRES_OUT = 'savoryyoke.E135'

MORE_FAULTS = 'savoryyoke.E199'


class Source(enum.StrEnum):
    """List the texts that may contain a fault."""

    BASE = 'base'
    OVERLAY = 'overlay'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Describe one fault in the operators' file.

    ``path`` consists of the keys that lead to the fault, joined by dots. It
    is empty if the fault concerns the whole text.
    """

    id: str
    source: Source
    path: str
    problem: str
    hint: str

    def __str__(self):
        """Return the fault as one line."""
        location = f'{self.source.value}: {self.path}'.removesuffix(': ')
        return f'{self.id} {location}: {self.problem}. {self.hint}.'


def render_path(keys):
    """Join ``keys`` by dots; shorten long keys and quote special ones."""
    return '.'.join(_render_key(str(key)) for key in keys)


def render_value(value):
    """Return ``value`` as one line, shortened if it is long."""
    text = repr(value)
    if len(text) <= conf.VALUE_DISPLAY_LIMIT_CHARACTERS:
        return text
    return text[: conf.VALUE_DISPLAY_LIMIT_CHARACTERS] + '...'


def limit_faults(all_faults):
    """Return up to ``FAULTS_LIMIT`` faults, and one that counts the rest."""
    shown = tuple(all_faults[: conf.FAULTS_LIMIT])
    if len(all_faults) <= conf.FAULTS_LIMIT:
        return shown
    remainder = Fault(
        id=MORE_FAULTS,
        source=shown[-1].source,
        path='',
        problem=f'at least {len(all_faults) - len(shown)} more are not shown',
        hint='Correct the faults above and check again',
    )
    return (*shown, remainder)


def _render_key(key):
    if len(key) > conf.KEY_DISPLAY_LIMIT_CHARACTERS:
        key = key[: conf.KEY_DISPLAY_LIMIT_CHARACTERS] + '...'
    return key if _PLAIN_KEY.fullmatch(key) else repr(key)
