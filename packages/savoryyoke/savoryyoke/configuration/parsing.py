"""Parsing of one YAML text into plain mappings, lists and scalars.

The tree is built from the parser's events without recursion, so that
hostile texts cost no more than their length. Scalars follow the core
schema of YAML 1.2: ``yes`` and ``12:30`` are text.
"""

import dataclasses
import re

import yaml

from savoryyoke.configuration import conf
from savoryyoke.configuration import faults

_NULL = re.compile(r'|~|null|Null|NULL')
_TRUE = re.compile(r'true|True|TRUE')
_FALSE = re.compile(r'false|False|FALSE')
_INTEGER = re.compile(r'[-+]?[0-9]{1,18}')
_FLOAT = re.compile(r'[-+]?[0-9]{1,18}(\.[0-9]{1,18})?([eE][-+]?[0-9]{1,3})?')

_PENDING = object()
_SKIPPED = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parsed:
    """Hold the tree of a text and what is wrong with the text."""

    tree: dict
    faults: tuple[faults.Fault, ...]


def parse(text, *, source):
    """Parse ``text``; ``source`` tells whether it is base or overlay.

    An overlay may be empty. Every expected failure is a fault in the result.
    """
    builder = _Builder(source=source)
    if not _fits(text):
        builder.add(
            faults.TOO_LARGE,
            f'the text is larger than {conf.TEXT_LIMIT_BYTES} bytes',
            'Shorten it',
        )
        return builder.finish()
    try:
        for event in yaml.parse(text, Loader=yaml.CSafeLoader):
            if not builder.take(event):
                break
    except (yaml.YAMLError, UnicodeEncodeError) as error:
        builder.add(
            faults.SYNTAX, _describe(error), 'Mend the syntax of the YAML'
        )
    return builder.finish()


def _fits(text):
    encoded = text.encode('utf-8', errors='replace')
    return len(encoded) <= conf.TEXT_LIMIT_BYTES


def _describe(error):
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or 'it holds invalid characters'
    return f'line {mark.line + 1}: {problem}' if mark else problem


class _Frame:
    """Hold one open mapping or list."""

    def __init__(self, *, container, is_key):
        self.container = container
        self.is_key = is_key
        self.key = _PENDING

    @property
    def awaits_key(self):
        return isinstance(self.container, dict) and self.key is _PENDING

    def store(self, value):
        if isinstance(self.container, list):
            self.container.append(value)
            return
        if self.key is not _SKIPPED:
            self.container[self.key] = value
        self.key = _PENDING


class _Builder:
    """Build a tree from the events of one text."""

    def __init__(self, *, source):
        self._source = source
        self._faults = []
        self._frames = []
        self._documents = 0
        self._root = None

    def add(self, id_, problem, hint):
        """Add a fault at the current place."""
        path = faults.render_path(self._keys())
        self._faults.append(
            faults.Fault(
                id=id_,
                source=self._source,
                path=path,
                problem=problem,
                hint=hint,
            )
        )

    def take(self, event):
        """Take one event; return whether to go on."""
        if len(self._faults) > conf.FAULTS_LIMIT:
            return False
        if isinstance(event, yaml.DocumentStartEvent):
            self._documents += 1
            return self._check_documents()
        if isinstance(event, yaml.CollectionEndEvent):
            self._close()
        elif isinstance(event, yaml.AliasEvent):
            self._refuse_alias(event)
            self._take_scalar(None)
        elif isinstance(event, yaml.ScalarEvent):
            self._check_node(event)
            self._take_scalar(event)
        elif isinstance(event, yaml.CollectionStartEvent):
            self._check_node(event)
            return self._open(event)
        return True

    def finish(self):
        """Return the tree with the faults found."""
        root = self._root
        if root is None and self._source is faults.Source.OVERLAY:
            root = {}
        if not self._faults and not isinstance(root, dict):
            self.add(
                faults.NOT_A_MAPPING,
                'the text is not a mapping',
                'Begin with "schema_version: 1"',
            )
        return Parsed(
            tree=root if isinstance(root, dict) else {},
            faults=tuple(self._faults),
        )

    def _keys(self):
        for frame in self._frames:
            if isinstance(frame.container, list):
                yield len(frame.container)
            elif frame.key not in (_PENDING, _SKIPPED):
                yield frame.key

    def _check_documents(self):
        if self._documents == 1:
            return True
        self.add(
            faults.SYNTAX,
            'the text holds more than one document',
            'Remove the lines from the second "---" on',
        )
        return False

    def _check_node(self, event):
        if event.anchor is not None:
            self._refuse_alias(event)
        if event.tag is not None:
            self.add(
                faults.TAG,
                f'line {event.start_mark.line + 1}: a tag is not allowed',
                'Write the plain value',
            )

    def _refuse_alias(self, event):
        self.add(
            faults.ALIAS,
            f'line {event.start_mark.line + 1}:'
            ' anchors and aliases are not allowed',
            'Write the value out',
        )

    def _take_scalar(self, event):
        frame = self._frames[-1] if self._frames else None
        if frame is not None and frame.awaits_key:
            self._take_key(frame, event)
            return
        value = None if event is None else _resolve(event)
        if frame is None:
            self._root = value
        else:
            frame.store(value)

    def _take_key(self, frame, event):
        if event is None:
            frame.key = _SKIPPED
            return
        frame.key = event.value
        if event.value in frame.container:
            self.add(
                faults.DUPLICATE_KEY,
                f'line {event.start_mark.line + 1}: the key is given twice',
                'Remove one of the two',
            )
            frame.key = _SKIPPED

    def _open(self, event):
        is_mapping = isinstance(event, yaml.MappingStartEvent)
        container = {} if is_mapping else []
        is_key = bool(self._frames) and self._frames[-1].awaits_key
        if not self._frames:
            self._root = container
        elif is_key:
            self._refuse_key(event)
        else:
            self._attach(container)
        self._frames.append(_Frame(container=container, is_key=is_key))
        if len(self._frames) <= conf.DEPTH_LIMIT:
            return True
        self.add(
            faults.TOO_DEEP,
            f'the text nests deeper than {conf.DEPTH_LIMIT} levels',
            'Flatten it',
        )
        return False

    def _close(self):
        closed = self._frames.pop()
        if self._frames and not closed.is_key:
            self._frames[-1].key = _PENDING

    def _refuse_key(self, event):
        self.add(
            faults.KEY_NOT_TEXT,
            f'line {event.start_mark.line + 1}: a key is not plain text',
            'Write a name before the colon',
        )
        self._frames[-1].key = _SKIPPED

    def _attach(self, container):
        # The key stays set while the container is open, because it names
        # the place of the faults inside.
        frame = self._frames[-1]
        if isinstance(frame.container, list):
            frame.container.append(container)
        elif frame.key is not _SKIPPED:
            frame.container[frame.key] = container


def _resolve(event):
    value = event.value
    if not event.implicit[0]:
        return value
    if _NULL.fullmatch(value):
        return None
    if _TRUE.fullmatch(value):
        return True
    if _FALSE.fullmatch(value):
        return False
    if _INTEGER.fullmatch(value):
        return int(value)
    if _FLOAT.fullmatch(value):
        return float(value)
    return value
