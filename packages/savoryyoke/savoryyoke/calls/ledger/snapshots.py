"""Define the copies of a ledger that a leaving process sends its heir."""

import dataclasses

from savoryyoke.calls import keys
from savoryyoke.calls.ledger import records
from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heir:
    """Identify the process that takes over the authority."""

    target_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordCopy:
    """Hold a copy of one record."""

    key: keys.BoundKey
    fingerprint: bytes | None
    phase: records.Phase
    seal_ms: int
    status: int
    answer: outcomes.Answer | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordTableCopy:
    """Hold a copy of the records of one incarnation.

    ``stamp_ms`` is the last stamp of the sender. ``confirmed`` says whether
    the authority over this incarnation has been confirmed to the sender.
    """

    target_id: str
    incarnation: int
    window_ms: int
    stamp_ms: int
    accept_floor: int
    record_floor: int
    seal_floor_ms: int
    confirmed: bool
    records: tuple[RecordCopy, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Hold all tables of the process ``source_incarnation``, as ``books``.

    Only the process ``heir`` may import it, not a process restarted in its
    place, which has no record of the calls that ``heir`` ran.
    """

    heir: Heir
    source_incarnation: int
    export_number: int
    books: tuple[RecordTableCopy, ...]


def copy_record(record, *, answer):
    """Return a copy of ``record``, with ``ELSEWHERE`` if in progress."""
    phase = record.phase
    if phase in records.IN_PROGRESS:
        phase = records.Phase.ELSEWHERE
    return RecordCopy(
        key=record.table.make_key(record),
        fingerprint=record.fingerprint,
        phase=phase,
        seal_ms=record.seal_ms,
        status=record.status,
        answer=answer,
    )
