"""Define the callers, answers and decisions of a directory."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """Describe a caller that needs an entry.

    ``identity`` is any stable string, such as the team and the client's
    address; callers with the same identity get the same entries.
    """

    identity: str
    data_centre: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryAddress:
    """Name one entry that a caller may use."""

    entry_id: str
    address: str
    data_centre: str


class CutOffReason(enum.Enum):
    """Tell why an entry can't rely on its data about the fleet."""

    PAUSED = 'paused'
    NO_TARGETS = 'no_targets'
    ISOLATED = 'isolated'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """List entries in order of preference, valid for ``lifetime_s``.

    ``bindings_by_service`` holds, for services whose calls may not be
    repeated, the targets to bind new idempotency keys to.
    """

    entries: tuple[EntryAddress, ...]
    lifetime_s: float
    bindings_by_service: dict[str, tuple] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutOff:
    """Tell a caller to use another entry, as this one lost contact.

    ``alternatives`` are other entries, preferably of other data centres.
    The caller may retry after ``retry_after_s`` seconds.
    """

    reason: CutOffReason
    alternatives: tuple[EntryAddress, ...]
    retry_after_s: float


class RejectionReason(enum.Enum):
    """Tell why an event was rejected as a whole."""

    UNKNOWN_ENTRY = 'unknown_entry'
    OLD_INCARNATION = 'old_incarnation'
    UNKNOWN_INCARNATION = 'unknown_incarnation'
    OUT_OF_ORDER = 'out_of_order'
    ABSURD_VALUE = 'absurd_value'


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventRejected:
    """Report an event that was rejected and changed nothing."""

    event_name: str
    entry_id: str
    reason: RejectionReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainPlanned:
    """Give the monotonic time when all answers with this entry expire."""

    drain_complete_at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ContactChanged:
    """Report a change of the cut-off reason, None if not cut off."""

    reason: CutOffReason | None
