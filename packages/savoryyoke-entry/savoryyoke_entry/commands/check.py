"""Check a base and each of its overlays, and list every fault.

Usage: savoryyoke check BASE [OVERLAY ...]

The base is checked on its own and then with each overlay. A valid pair gives
its digest, the one that daemons report once the pair is in force.
"""

from savoryyoke.configuration import documents
from savoryyoke_edge.command_line import results
from savoryyoke_entry.commands import files


def check(base, *overlays):
    """Check the files; the status is 1 if one of them has a fault."""
    lines = []
    problems = []
    for overlay in (None, *overlays):
        outcome = files.judge(base, overlay)
        if isinstance(outcome, documents.Accepted):
            name = base if overlay is None else f'{base} with {overlay}'
            lines.append(f'{name}: valid, digest {outcome.digest}')
            continue
        problems.extend(
            files.describe(outcome.faults, base=base, overlay=overlay)
        )
    status = results.ExitStatus.NEGATIVE if problems else 0
    return results.Result(
        lines=tuple(lines),
        # A fault of the base is found again with each overlay.
        problems=tuple(dict.fromkeys(problems)),
        status=results.ExitStatus(status),
    )
