"""Print what changes between two versions of the merged file.

Usage: savoryyoke diff OLD_BASE NEW_BASE [--overlay=FILE]
           [--old-overlay=FILE] [--new-overlay=FILE]

--overlay is merged into both versions. Each line names one place: "+" added,
"-" removed, "~" changed. The status is 1 if the two differ.
"""

from savoryyoke.configuration import differences
from savoryyoke.configuration import documents
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
        map(
            str,
            differences.compare(
                documents.to_plain(old.configuration),
                documents.to_plain(new.configuration),
            ),
        )
    )
    status = results.ExitStatus.NEGATIVE if lines else 0
    return results.Result(lines=lines, status=results.ExitStatus(status))
