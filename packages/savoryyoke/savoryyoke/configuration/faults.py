"""Faults of a file, each with a stable identifier, a place and a hint."""

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
KEY_NOT_TEXT = 'savoryyoke.E106'
TOO_DEEP = 'savoryyoke.E107'
NOT_A_MAPPING = 'savoryyoke.E108'

UNKNOWN_NAME = 'savoryyoke.E110'
FIXED_FIELD = 'savoryyoke.E111'
SHAPE = 'savoryyoke.E112'
NOTHING_TO_DELETE = 'savoryyoke.E113'
NAME_DELETED = 'savoryyoke.E114'

UNKNOWN_VERSION = 'savoryyoke.E120'
MISSING = 'savoryyoke.E121'
UNKNOWN_FIELD = 'savoryyoke.E122'
INVALID = 'savoryyoke.E123'

ROUTE_OVERLAP = 'savoryyoke.E130'
SHARED_API_KEY = 'savoryyoke.E131'
UNKNOWN_DEFAULT = 'savoryyoke.E132'
COLD_ABOVE_WARM = 'savoryyoke.E133'
ALL_OUT = 'savoryyoke.E135'

MORE_FAULTS = 'savoryyoke.E199'


class Source(enum.StrEnum):
    """List the texts that a fault may lie in."""

    BASE = 'base'
    OVERLAY = 'overlay'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Describe one thing wrong with the operators' file.

    ``path`` names the place by its keys, joined by dots; it is empty where
    the whole text is at fault.
    """

    id: str
    source: Source
    path: str
    problem: str
    hint: str

    def __str__(self):
        """Return the fault as one line."""
        place = f'{self.source.value}: {self.path}'.removesuffix(': ')
        return f'{self.id} {place}: {self.problem}. {self.hint}.'


def render_path(keys):
    """Join ``keys`` by dots; quote and shorten those that are not plain."""
    return '.'.join(_render_key(str(key)) for key in keys)


def render_value(value):
    """Return ``value`` as one short line."""
    text = repr(value)
    if len(text) <= conf.VALUE_SHOWN_LIMIT:
        return text
    return text[: conf.VALUE_SHOWN_LIMIT] + '...'


def bound(found):
    """Return at most ``FAULTS_LIMIT`` faults and a count of the rest."""
    kept = tuple(found[: conf.FAULTS_LIMIT])
    if len(found) <= conf.FAULTS_LIMIT:
        return kept
    more = Fault(
        id=MORE_FAULTS,
        source=kept[-1].source,
        path='',
        problem=f'at least {len(found) - len(kept)} more are not shown',
        hint='Mend the faults above and check again',
    )
    return (*kept, more)


def _render_key(key):
    if len(key) > conf.KEY_SHOWN_LIMIT:
        key = key[: conf.KEY_SHOWN_LIMIT] + '...'
    return key if _PLAIN_KEY.fullmatch(key) else repr(key)
