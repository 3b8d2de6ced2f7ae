"""Define the decisions that a ledger returns."""

import dataclasses

from savoryyoke.calls import keys
from savoryyoke.calls.ledger import snapshots


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """Put the call into the queue of the application.

    ``attempt_id`` identifies the attempt that requested it.
    """

    key: keys.BoundKey
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Abandon:
    """Remove the call from the queue; it must not be handed over."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOver:
    """Send the call to the application now; it can't be withdrawn later."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class Respond:
    """Answer message ``number`` of an attempt with ``outcome``."""

    attempt_id: str
    number: int
    outcome: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class Redirect:
    """Make the entry send message ``number`` to the heir instead.

    ``stamp_ms`` is the last stamp sent before the authority moved.
    """

    attempt_id: str
    number: int
    heir: snapshots.Heir
    stamp_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExportSnapshot:
    """Send the snapshot to the heir until the heir acknowledges it."""

    heir: snapshots.Heir
    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class NameHeir:
    """Notify the heir and all entries that the authority has moved.

    ``stamps_by_incarnation`` holds the last stamps sent, in ms.
    """

    heir: snapshots.Heir
    source_incarnation: int
    export_number: int
    stamps_by_incarnation: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcknowledgeImport:
    """Notify the sender of a snapshot that it was imported."""

    source_incarnation: int
    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseImport:
    """Notify the sender of a snapshot that it needs another heir."""

    source_incarnation: int
    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferRecord:
    """Send the heir the final record of a call that was in progress."""

    heir: snapshots.Heir
    record: snapshots.RecordCopy
