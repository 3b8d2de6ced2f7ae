"""Define the decisions that propagation hands out."""

import dataclasses
import enum

from savoryyoke.membership import messages


class ReportKind(enum.Enum):
    """Name what a report is about."""

    REFUSED = 'refused'
    CONFLICTING_CONTENTS = 'conflicting_contents'
    DIGEST_MISMATCH = 'digest_mismatch'
    MALFORMED = 'malformed'
    STALE_PLATFORM = 'stale_platform'
    UNCONFIRMED = 'unconfirmed'
    DIVERGED = 'diverged'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadPlatform:
    """Wait until the platform holds a revision above ``wait_revision``.

    Answer with ``PlatformRead``, with ``PlatformUnchanged`` after
    ``timeout_s``, or with ``PlatformFailed``.
    """

    name: str
    wait_revision: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendSummary:
    """Carry these versions on the messages between members."""

    versions: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestState:
    """Ask a peer what it holds and what is in force at a site."""

    vm_id: str
    site: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerState:
    """Answer a peer that asked for the state at a site."""

    request_id: int
    held: tuple[messages.Version, ...]
    in_force: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchFrom:
    """Fetch a document from a peer."""

    vm_id: str
    name: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServeDocument:
    """Send a document; report ``ServeEnded`` when done."""

    request_id: int
    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseDocument:
    """Tell a peer to fetch a document elsewhere."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Apply:
    """Put a base and an overlay into force.

    ``is_confirmed`` is false when no peer with a configuration in force
    answered while this process started.
    """

    base_revision: int
    overlay_revision: int
    base_text: str
    overlay_text: str
    digest: str
    is_confirmed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Tell the operators of a fault in what was read or received."""

    kind: ReportKind
    name: str
    revision: int
    detail: str
