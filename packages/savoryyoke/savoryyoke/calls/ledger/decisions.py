"""Define the decisions that a ledger returns."""

import dataclasses

from savoryyoke.calls import keys
from savoryyoke.calls.ledger import snapshots


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """Put the call into the queue of the application.

    ``attempt_id`` is the attempt that brought it.
    """

    key: keys.BoundKey
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Abandon:
    """Take the call out of the queue; it must not be handed over."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOver:
    """Send the call to the application now; there is no way back."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class Respond:
    """Answer message ``number`` of an attempt with its outcome."""

    attempt_id: str
    number: int
    outcome: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class Redirect:
    """Tell the entry to send message ``number`` to the heir instead.

    ``stamp_ms`` is the last stamp given out before the authority moved.
    """

    attempt_id: str
    number: int
    heir: snapshots.Heir
    stamp_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExportSnapshot:
    """Send the snapshot to the heir, again until it is acknowledged."""

    heir: snapshots.Heir
    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class NameHeir:
    """Tell the heir and all entries that the authority has moved.

    ``stamps_by_incarnation`` holds the last stamp of each book, in ms.
    """

    heir: snapshots.Heir
    source_incarnation: int
    export_number: int
    stamps_by_incarnation: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcknowledgeImport:
    """Tell the sender of a snapshot that it is held."""

    source_incarnation: int
    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseImport:
    """Tell the sender of a snapshot to look for another heir."""

    source_incarnation: int
    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferRecord:
    """Send the heir the end of a call that was in progress."""

    heir: snapshots.Heir
    record: snapshots.RecordCopy
