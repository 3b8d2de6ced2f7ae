"""Define what a leaving process hands to its heir."""

import dataclasses

from savoryyoke.calls import keys
from savoryyoke.calls.ledger import records
from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heir:
    """Name the process that takes the authority over."""

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
class BookCopy:
    """Hold a copy of the records of one incarnation.

    ``stamp_ms`` is the last stamp that the sender gives out. ``confirmed``
    says whether the sender knows that it has the authority itself.
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
    """Hold all books of the process ``source_incarnation``.

    Only the process ``heir`` may take it in, not one restarted in its place,
    which does not know what its predecessor ran.
    """

    heir: Heir
    source_incarnation: int
    export_number: int
    books: tuple[BookCopy, ...]


def copy_record(record, *, answer):
    """Return the copy of ``record``, in progress elsewhere for the heir."""
    phase = record.phase
    if phase in records.IN_PROGRESS:
        phase = records.Phase.ELSEWHERE
    return RecordCopy(
        key=record.book.key(record),
        fingerprint=record.fingerprint,
        phase=phase,
        seal_ms=record.seal_ms,
        status=record.status,
        answer=answer,
    )
