"""Define the messages between entry daemons and target processes.

The fields mirror those of ``protocol.capnp``, which documents them.
"""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Classify a refused call by whether it may have run."""

    NOT_RUN = 'notRun'
    MAY_HAVE_RUN = 'mayHaveRun'
    KEY_REUSED = 'keyReused'
    RAN_ANSWER_GONE = 'ranAnswerGone'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Header:
    """Hold one HTTP header."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """Identify a process; the first message in each direction."""

    version_low: int
    version_high: int
    process_id: str
    incarnation: int
    data_centre: str
    service: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Describe one crash of one back end.

    ``fingerprints`` and ``cleared`` are concatenated digests of requests,
    ``conf.CRASH_DIGEST_BYTES`` each.
    """

    crash_id: str
    fingerprints: bytes
    cleared: bytes
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Send one attempt of a caller's request to a target."""

    call_id: int
    service: str
    operation: str
    team: str
    team_weight: float
    priority: int
    remaining_ms: int
    idempotent: bool
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    key: str = ''
    fingerprint: bytes = b''
    stamp_ms: int = 0
    streamed: bool = False
    resume_index: int = 0
    resume_text: str = ''
    cost: float = 1.0
    credit_bytes: int = 0
    seal_only: bool = False
    attempt: str = ''
    number: int = 0
    crash_reports: tuple[CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Cancel a call whose caller disconnected or has an answer already."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Credit:
    """Allow the target to send more bytes of one answer."""

    call_id: int
    bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """Start an answer with its status and headers."""

    call_id: int
    status: int
    headers: tuple[Header, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chunk:
    """Carry ``count`` consecutive events of an answer, from ``index`` on."""

    call_id: int
    index: int
    count: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class End:
    """End an answer; an answer without this message is incomplete."""

    call_id: int
    total: int
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """End a call without an answer and report whether it may have run."""

    call_id: int
    outcome: Outcome
    reason: str
    retry_after_ms: int = 0
    same_key_may_return: bool = False
    handed_over: bool = False
    holds_for_ms: int = 0
    status: int = 0
    crash_reports: tuple[CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stamp:
    """Hold the clock of one incarnation's ledger.

    ``target_id`` is the target that answers for this ledger now.
    """

    target_id: str
    incarnation: int
    stamp_ms: int
    window_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Report the load of a target and the stamps of its ledger."""

    sent_ms: int
    running: int
    queued: int
    limit: int
    wait_ms: int
    cold: bool
    draining: bool
    kv_free: float = 1.0
    stamps: tuple[Stamp, ...] = ()
    revision: str = ''
    crash_reports: tuple[CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Redirect:
    """Refer an entry to the heir of a target that has left."""

    call_id: int
    heir_target_id: str
    heir_incarnation: int
    stamp_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Handover:
    """Carry one part of a ledger's snapshot to its heir."""

    source_incarnation: int
    export_number: int
    part: int
    parts: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandoverAnswer:
    """Report whether the heir has stored a ledger's snapshot."""

    source_incarnation: int
    export_number: int
    accepted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirNamed:
    """Announce that the heir now answers for the ledger."""

    source_incarnation: int
    export_number: int
    heir_target_id: str
    heir_incarnation: int
    stamps: tuple[Stamp, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordTransfer:
    """Carry the outcome of a call that was still running at the handover."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Version:
    """Name one revision of a document by its digest."""

    name: str
    revision: int
    digest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateRequest:
    """Request the document versions that a process holds.

    The answer also has the versions that are in force at ``site``.
    """

    request_id: int
    site: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateAnswer:
    """Answer a ``StateRequest``."""

    request_id: int
    held: tuple[Version, ...] = ()
    in_force: tuple[Version, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class DocumentRequest:
    """Request one revision of a document from a process."""

    request_id: int
    name: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Document:
    """Carry one revision of a document; ``content`` is UTF-8."""

    request_id: int
    name: str
    revision: int
    content: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class DocumentRefusal:
    """Refuse a ``DocumentRequest``; another process must be asked."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRow:
    """Hold a rate of one team's limit that is requested or lent."""

    team: str
    resource: str
    rate_per_s: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRequest:
    """Request that an entry lends parts of teams' limits."""

    request_id: int
    entry_id: str
    rows: tuple[LoanRow, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanAnswer:
    """Lend the rates of ``rows``."""

    request_id: int
    rows: tuple[LoanRow, ...] = ()


Message = (
    Hello
    | Call
    | Cancel
    | Credit
    | Head
    | Chunk
    | End
    | Refusal
    | Load
    | Redirect
    | Handover
    | HandoverAnswer
    | HeirNamed
    | RecordTransfer
    | StateRequest
    | StateAnswer
    | DocumentRequest
    | Document
    | DocumentRefusal
    | LoanRequest
    | LoanAnswer
)
