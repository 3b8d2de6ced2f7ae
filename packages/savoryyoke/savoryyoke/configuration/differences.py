"""Differences between two versions of a configuration, place by place."""

import dataclasses
import enum
import json

from savoryyoke.configuration import faults


class Change(enum.StrEnum):
    """List the kinds of differences."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """Describe one place whose value differs.

    ``old`` is None if the place was added, ``new`` if it was removed.
    """

    change: Change
    path: str
    old: object
    new: object

    def __str__(self):
        """Return the difference as one line."""
        old, new = json.dumps(self.old), json.dumps(self.new)
        match self.change:
            case Change.ADDED:
                return f'+ {self.path}: {new}'
            case Change.REMOVED:
                return f'- {self.path}: {old}'
        return f'~ {self.path}: {old} -> {new}'


def compare(old_tree, new_tree):
    """Yield the ``Difference`` objects of two trees, sorted by path.

    A tree consists of mappings; every other value is compared as a whole.
    """
    old, new = dict(_flatten(old_tree)), dict(_flatten(new_tree))
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            change = Change.ADDED
        elif path not in new:
            change = Change.REMOVED
        elif old[path] != new[path]:
            change = Change.CHANGED
        else:
            continue
        yield Difference(
            change=change, path=path, old=old.get(path), new=new.get(path)
        )


def _flatten(tree, path=()):
    for key, value in tree.items():
        if isinstance(value, dict) and value:
            yield from _flatten(value, (*path, key))
        else:
            yield faults.render_path((*path, key)), value
