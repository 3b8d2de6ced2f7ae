"""Check a base and each of its overlays, and list every fault.

Usage: savoryyoke check BASE [OVERLAY ...] [--against=FILE] [--json]

The base is checked on its own and then with each overlay. A valid pair gives
its digest, the one that daemons report once the pair is in force. --against
names the base in force; what differs from it is listed for each pair, in the
form of the command diff. --json prints one JSON document. The status is 1 if
one of the files has a fault; differences don't change it.
"""

import dataclasses
import functools
import json as json_codec

import fire.decorators

from savoryyoke.configuration import differences
from savoryyoke.configuration import documents
from savoryyoke.configuration import faults
from savoryyoke_edge.command_line import results
from savoryyoke_entry.commands import files
from savoryyoke_entry.commands import values


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Valid:
    """Hold a valid pair and what differs from the pair in force."""

    base: str
    overlay: str | None
    digest: str
    differences: tuple[differences.Difference, ...]

    @property
    def name(self):
        """Return the names of the files."""
        if self.overlay is None:
            return self.base
        return f'{self.base} with {self.overlay}'


@fire.decorators.SetParseFns(
    json=functools.partial(values.parse_flag, '--json')
)
def check(base, *overlays, against=None, json=False):
    """Check the files; the status is 1 if one of them has a fault."""
    valid_pairs = []
    # Each fault with its file, once: a fault of the base is found again with
    # each overlay.
    faults_by_line = {}
    for overlay in (None, *overlays):
        accepted = _judge(base, overlay, faults_by_line)
        in_force = None
        if against is not None:
            in_force = _judge(against, overlay, faults_by_line)
        if accepted is not None:
            valid_pairs.append(
                _Valid(
                    base=base,
                    overlay=overlay,
                    digest=accepted.digest,
                    differences=_compare(in_force, accepted),
                )
            )
    status = results.ExitStatus.NEGATIVE if faults_by_line else 0
    status = results.ExitStatus(status)
    if json:
        document = _build_document(valid_pairs, faults_by_line.values())
        text = json_codec.dumps(document, indent=2, sort_keys=True)
        return results.Result(lines=(text,), status=status)
    return results.Result(
        lines=tuple(_render(valid_pairs)),
        problems=tuple(faults_by_line),
        status=status,
    )


def _judge(base, overlay, faults_by_line):
    """Return the ``Accepted`` outcome, or None and add its faults."""
    outcome = files.judge(base, overlay)
    if isinstance(outcome, documents.Accepted):
        return outcome
    for fault in outcome.faults:
        (line,) = files.describe((fault,), base=base, overlay=overlay)
        is_overlay = fault.source is faults.Source.OVERLAY
        faults_by_line[line] = {
            'id': fault.id,
            'severity': 'error',
            'file': overlay if is_overlay else base,
            'path': fault.path,
            'problem': fault.problem,
            'hint': fault.hint,
        }
    return None


def _compare(in_force, accepted):
    if in_force is None:
        return ()
    return tuple(
        differences.compare(
            documents.to_plain(in_force.configuration),
            documents.to_plain(accepted.configuration),
        )
    )


def _render(valid_pairs):
    for pair in valid_pairs:
        yield f'{pair.name}: valid, digest {pair.digest}'
        yield from map(str, pair.differences)


def _build_document(valid_pairs, found_faults):
    return {
        'findings': list(found_faults),
        'valid': [dataclasses.asdict(pair) for pair in valid_pairs],
    }
