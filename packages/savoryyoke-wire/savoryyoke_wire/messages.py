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
    incarnation: str
    data_centre: str
    service: str = ''


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Report the load of a target and the state of its ledger."""

    stamp_ms: int
    window: int
    running: int
    queued: int
    limit: int
    wait_ms: int
    cold: bool
    draining: bool
    kv_free: float = 1.0
    heir: str = ''
    inherited: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Handover:
    """Carry one part of a ledger's snapshot to its heir."""

    part: int
    parts: int
    incarnation: str
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandoverAck:
    """Tell whether the heir took a ledger's snapshot."""

    incarnation: str
    accepted: bool


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
    | Handover
    | HandoverAck
)
