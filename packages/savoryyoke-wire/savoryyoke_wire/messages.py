"""Messages between entry daemons and target processes.

The fields mirror ``protocol.capnp``, which says what each of them means.
"""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Name what a refusal says about the run of a call."""

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
    """Introduce a process; the first message in each direction."""

    version_low: int
    version_high: int
    process_id: str
    incarnation: int
    data_centre: str
    service: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Describe one crash of one back end.

    ``fingerprints`` and ``cleared`` hold digests of
    ``conf.CRASH_DIGEST_BYTES`` each, one after the other.
    """

    crash_id: str
    fingerprints: bytes
    cleared: bytes
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Offer one attempt of a caller's request to a target."""

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
    """Withdraw a call whose caller went away or was answered."""

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
    """Carry ``count`` consecutive events of an answer from ``index`` on."""

    call_id: int
    index: int
    count: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class End:
    """End an answer explicitly; without it the answer is not complete."""

    call_id: int
    total: int
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """End a call without an answer and say what is known of its run."""

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
    """Hold the clock of one incarnation's ledger and who answers for it."""

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
    """Send an entry's message on to the heir of a target that left."""

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
    """Tell whether the heir holds a ledger's snapshot."""

    source_incarnation: int
    export_number: int
    accepted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeirNamed:
    """Tell the heir and the entries that the authority has moved."""

    source_incarnation: int
    export_number: int
    heir_target_id: str
    heir_incarnation: int
    stamps: tuple[Stamp, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordTransfer:
    """Carry the end of a call that was in progress at the handover."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Version:
    """Name one revision of a document by its digest."""

    name: str
    revision: int
    digest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateRequest:
    """Ask a process what it holds and what is in force at a site."""

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
    """Ask a process for one revision of a document."""

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
    """Tell a process to fetch a document elsewhere."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRow:
    """Name a rate of one team's limit that is asked for or lent."""

    team: str
    resource: str
    rate_per_s: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRequest:
    """Ask an entry to lend parts of teams' limits."""

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
