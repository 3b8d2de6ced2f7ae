"""Parsing of one YAML text into plain mappings, lists and scalars.

The tree is built from the events of the YAML parser without recursion, so
that the cost of a malicious text is linear in its length. Scalars follow the
core schema of YAML 1.2: ``yes`` and ``12:30`` are strings.
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

_NO_KEY = object()
_INVALID_KEY = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parsed:
    """Hold the tree of a text and the faults found in it."""

    tree: dict
    faults: tuple[faults.Fault, ...]


def parse(text, *, source):
    """Return ``text`` as ``Parsed``; ``source`` is a ``faults.Source``.

    An overlay may be empty. Faults are reported in the result, not raised.
    """
    builder = _Builder(source=source)
    if not _is_within_limit(text):
        builder.add_fault(
            faults.TOO_LARGE,
            f'the text is larger than {conf.TEXT_LIMIT_BYTES} bytes',
            'Shorten it',
        )
        return builder.build_result()
    try:
        for event in yaml.parse(text, Loader=yaml.CSafeLoader):
            if not builder.handle_event(event):
                break
    except (yaml.YAMLError, UnicodeEncodeError) as error:
        builder.add_fault(
            faults.SYNTAX, _describe(error), 'Correct the YAML syntax'
        )
    return builder.build_result()


def _is_within_limit(text):
    encoded = text.encode('utf-8', errors='replace')
    return len(encoded) <= conf.TEXT_LIMIT_BYTES


def _describe(error):
    mark = getattr(error, 'problem_mark', None)
    problem = (
        getattr(error, 'problem', None)
        or 'the text contains invalid characters'
    )
    return f'line {mark.line + 1}: {problem}' if mark else problem


class _Frame:
    """Hold a mapping or list whose end event has not been read.

    ``is_key`` is set if it stands in place of a key, which is a fault.
    """

    def __init__(self, *, container, is_key):
        self.container = container
        self.is_key = is_key
        self.key = _NO_KEY

    @property
    def expects_key(self):
        return isinstance(self.container, dict) and self.key is _NO_KEY

    def store(self, value):
        if isinstance(self.container, list):
            self.container.append(value)
            return
        if self.key is not _INVALID_KEY:
            self.container[self.key] = value
        self.key = _NO_KEY


class _Builder:
    """Build a tree from the events of one text."""

    def __init__(self, *, source):
        self._source = source
        self._faults = []
        self._frames = []
        self._document_count = 0
        self._root = None

    def add_fault(self, fault_id, problem, hint):
        """Add a fault at the current path."""
        path = faults.render_path(self._iterate_path())
        self._faults.append(
            faults.Fault(
                id=fault_id,
                source=self._source,
                path=path,
                problem=problem,
                hint=hint,
            )
        )

    def handle_event(self, event):
        """Process one parser event; return whether to continue."""
        if len(self._faults) > conf.FAULTS_LIMIT:
            return False
        if isinstance(event, yaml.DocumentStartEvent):
            self._document_count += 1
            return self._check_document_count()
        if isinstance(event, yaml.CollectionEndEvent):
            self._close_collection()
        elif isinstance(event, yaml.AliasEvent):
            self._refuse_alias(event)
            self._add_scalar(None)
        elif isinstance(event, yaml.ScalarEvent):
            self._check_node(event)
            self._add_scalar(event)
        elif isinstance(event, yaml.CollectionStartEvent):
            self._check_node(event)
            return self._open_collection(event)
        return True

    def build_result(self):
        """Return the result as ``Parsed``."""
        root = self._root
        if root is None and self._source is faults.Source.OVERLAY:
            root = {}
        if not self._faults and not isinstance(root, dict):
            self.add_fault(
                faults.NOT_A_MAPPING,
                'the text is not a mapping',
                'Start with "schema_version: 1"',
            )
        return Parsed(
            tree=root if isinstance(root, dict) else {},
            faults=tuple(self._faults),
        )

    def _iterate_path(self):
        for frame in self._frames:
            if isinstance(frame.container, list):
                yield len(frame.container)
            elif frame.key not in (_NO_KEY, _INVALID_KEY):
                yield frame.key

    def _check_document_count(self):
        if self._document_count == 1:
            return True
        self.add_fault(
            faults.SYNTAX,
            'the text contains more than one YAML document',
            'Remove the second "---" and everything after it',
        )
        return False

    def _check_node(self, event):
        if event.anchor is not None:
            self._refuse_alias(event)
        if event.tag is not None:
            self.add_fault(
                faults.TAG,
                f'line {event.start_mark.line + 1}: a tag is not allowed',
                'Write the value without a tag',
            )

    def _refuse_alias(self, event):
        self.add_fault(
            faults.ALIAS,
            f'line {event.start_mark.line + 1}:'
            ' anchors and aliases are not allowed',
            'Repeat the value instead',
        )

    def _add_scalar(self, event):
        frame = self._frames[-1] if self._frames else None
        if frame is not None and frame.expects_key:
            self._set_key(frame, event)
            return
        value = None if event is None else _resolve_scalar(event)
        if frame is None:
            self._root = value
        else:
            frame.store(value)

    def _set_key(self, frame, event):
        if event is None:
            frame.key = _INVALID_KEY
            return
        frame.key = event.value
        if event.value in frame.container:
            self.add_fault(
                faults.DUPLICATE_KEY,
                f'line {event.start_mark.line + 1}: the key is given twice',
                'Remove one of the two keys',
            )
            frame.key = _INVALID_KEY

    def _open_collection(self, event):
        is_mapping = isinstance(event, yaml.MappingStartEvent)
        container = {} if is_mapping else []
        is_key = bool(self._frames) and self._frames[-1].expects_key
        if not self._frames:
            self._root = container
        elif is_key:
            self._refuse_key(event)
        else:
            self._add_container(container)
        self._frames.append(_Frame(container=container, is_key=is_key))
        if len(self._frames) <= conf.DEPTH_LIMIT:
            return True
        self.add_fault(
            faults.TOO_DEEP,
            f'the text is nested deeper than {conf.DEPTH_LIMIT} levels',
            'Flatten it',
        )
        return False

    def _close_collection(self):
        closed = self._frames.pop()
        if self._frames and not closed.is_key:
            self._frames[-1].key = _NO_KEY

    def _refuse_key(self, event):
        self.add_fault(
            faults.KEY_NOT_SCALAR,
            f'line {event.start_mark.line + 1}: a key is not a scalar',
            'Write a plain name before the colon',
        )
        self._frames[-1].key = _INVALID_KEY

    def _add_container(self, container):
        # The key stays set while the container is open, because it is part
        # of the path of faults inside the container.
        frame = self._frames[-1]
        if isinstance(frame.container, list):
            frame.container.append(container)
        elif frame.key is not _INVALID_KEY:
            frame.container[frame.key] = container


def _resolve_scalar(event):
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
