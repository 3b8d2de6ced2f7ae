"""Print what changes between two versions of the merged file.

Usage: savoryyoke diff OLD_BASE NEW_BASE [--overlay=FILE]
           [--old-overlay=FILE] [--new-overlay=FILE]

--overlay is merged into both versions. Each line names one place: "+" added,
"-" removed, "~" changed. The status is 1 if the two differ.
"""

import json

from savoryyoke.configuration import documents
from savoryyoke.configuration import faults
from savoryyoke_edge.command_line import results
from savoryyoke_entry.commands import files


def diff(
    old_base, new_base, *, overlay=None, old_overlay=None, new_overlay=None
):
    """Compare the meaning of two versions, defaults included."""
    old = files.require(old_base, old_overlay or overlay)
    if isinstance(old, results.Result):
        return old
    new = files.require(new_base, new_overlay or overlay)
    if isinstance(new, results.Result):
        return new
    lines = tuple(
        _compare(
            dict(_flatten(documents.to_plain(old.configuration))),
            dict(_flatten(documents.to_plain(new.configuration))),
        )
    )
    status = results.ExitStatus.NEGATIVE if lines else 0
    return results.Result(lines=lines, status=results.ExitStatus(status))


def _flatten(tree, path=()):
    for key, value in tree.items():
        if isinstance(value, dict) and value:
            yield from _flatten(value, (*path, key))
        else:
            yield faults.render_path((*path, key)), json.dumps(value)


def _compare(old, new):
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            yield f'+ {path}: {new[path]}'
        elif path not in new:
            yield f'- {path}: {old[path]}'
        elif old[path] != new[path]:
            yield f'~ {path}: {old[path]} -> {new[path]}'
