"""Define the events that a ledger handles."""

import dataclasses

from savoryyoke.calls import keys
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offered:
    """Report an attempt of a call that an entry has sent.

    ``stamp_ms`` is a stamp of the ledger that the entry had certainly
    received when the caller's request arrived. ``number`` counts the messages
    of the attempt and is repeated in the response. ``fingerprint`` is a hash
    of the team, the service and the request. ``remaining_s`` is the time
    left until the deadline of the attempt.
    """

    key: keys.BoundKey
    fingerprint: bytes
    attempt_id: str
    number: int
    stamp_ms: int
    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SealRequested:
    """Report that an attempt asks to seal its key, so that it won't run."""

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
    """Report that the application certainly received no byte of a call."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverLost:
    """Report that the connection broke after a call was handed over."""

    key: keys.BoundKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """Report the complete answer of the application to a call."""

    key: keys.BoundKey
    answer: outcomes.Answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed; expected about once a second."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Report that this process is leaving and ``heir`` takes over."""

    heir: snapshots.Heir


@dataclasses.dataclass(frozen=True, kw_only=True)
class ImportAcknowledged:
    """Report that the heir has imported the snapshot of this number."""

    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirLost:
    """Report that the heir refused, ended or did not answer in time."""

    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirReconnected:
    """Report a new connection to the heir; messages may have been lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotReceived:
    """Report a snapshot sent by a process that is leaving."""

    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirConfirmed:
    """Report that the sender of a snapshot has handed over its authority."""

    source_incarnation: int
    export_number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordTransferred:
    """Report the final record of a call of the process that is leaving."""

    record: snapshots.RecordCopy


@dataclasses.dataclass(frozen=True, kw_only=True)
class PredecessorLost:
    """Report that a process that handed over ended with calls in progress."""

    incarnation: int
