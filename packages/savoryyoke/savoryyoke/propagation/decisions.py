"""Define the decisions that propagation returns."""

import dataclasses
import enum

from savoryyoke.membership import messages


class ReportKind(enum.Enum):
    """Name the kind of fault that a report describes."""

    REFUSED = 'refused'
    CONFLICTING_CONTENTS = 'conflicting_contents'
    DIGEST_MISMATCH = 'digest_mismatch'
    MALFORMED = 'malformed'
    STALE_PLATFORM = 'stale_platform'
    UNCONFIRMED = 'unconfirmed'
    DIVERGED = 'diverged'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadPlatform:
    """Read a document of the platform above ``after_revision``.

    The call waits for such a revision. The owner reports ``PlatformRead``,
    ``PlatformUnchanged`` if there is none within ``timeout_s``, or
    ``PlatformFailed``.
    """

    name: str
    after_revision: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendSummary:
    """Include these versions in the messages between members."""

    versions: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestState:
    """Request the versions that a peer holds and has in force at a site."""

    vm_id: str
    site: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerState:
    """Answer a peer's request for the state at a site."""

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
    """Send a document to a peer; report ``ServeEnded`` when done."""

    request_id: int
    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseDocument:
    """Refuse a peer's request for a document; it may try other peers."""

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
    """Report a fault in a document or version to the operators."""

    kind: ReportKind
    name: str
    revision: int
    detail: str
