"""Define the events that a ledger takes."""

import dataclasses

from savoryyoke.calls import keys
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offered:
    """Report that an entry offers an attempt of a call.

    ``stamp_ms`` is the newest stamp of the ledger that the entry surely held
    when the caller's request arrived; ``number`` counts the messages of the
    attempt and comes back in the response. ``fingerprint`` hashes the team,
    the service and the request.
    """

    key: keys.BoundKey
    fingerprint: bytes
    attempt_id: str
    number: int
    stamp_ms: int
    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SealRequested:
    """Report that an attempt no longer wants its call to run."""

    key: keys.BoundKey
    fingerprint: bytes
    attempt_id: str
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverRequested:
    """Report that the application is ready for a queued call."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Report that admission refused a queued call."""

    key: keys.BoundKey
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverFailed:
    """Report that the application provably received no byte of a call."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverLost:
    """Report that the connection broke after a call was handed over."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """Report the application's whole answer to a call."""

    key: keys.BoundKey
    answer: outcomes.Answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed; due about once a second."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Report that this process leaves and that ``heir`` is to take over."""

    heir: snapshots.Heir


@dataclasses.dataclass(frozen=True, kw_only=True)
class ImportAcknowledged:
    """Report that the heir holds the snapshot with this number."""

    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirLost:
    """Report that the heir refused, died or kept silent for too long."""

    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirReconnected:
    """Report a new connection to the heir; messages may have been lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inherited:
    """Report a snapshot sent by a process that leaves."""

    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirConfirmed:
    """Report that the sender of a snapshot handed its authority over."""

    source_incarnation: int
    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordTransferred:
    """Report the end of a call that the leaving process had in progress."""

    record: snapshots.RecordCopy


@dataclasses.dataclass(frozen=True, kw_only=True)
class PredecessorLost:
    """Report that a process which left is gone with calls in progress."""

    incarnation: int
