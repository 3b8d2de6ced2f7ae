"""Define the decisions that membership returns."""

import dataclasses

from savoryyoke.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message as one datagram to an address."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberJoined:
    """Report a member that can be used.

    ``incarnation`` is 0 while the member is only known from the VM list. The
    decision is repeated when a first or a new incarnation is received.
    """

    vm_id: str
    incarnation: int
    role: str
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberSuspected:
    """Report a member that did not answer but may still refute that."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberFailed:
    """Report an incarnation that is considered dead.

    ``reason`` is ``unresponsive`` or ``restarted``.
    """

    vm_id: str
    incarnation: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberLeaving:
    """Report a member that must not receive new work."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberLeft:
    """Report a member that announced its exit or left the VM list."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelfSuspected:
    """Report that the view of this process may be wrong.

    ``reason`` is ``paused`` or ``isolated``.
    """

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelfConfirmed:
    """Report that enough other members have answered this process."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmListRefused:
    """Report a VM list that was rejected; the last accepted one remains."""

    sequence: int
    faults: tuple


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SummaryReceived:
    """Report the versions or attachments in a message of a member."""

    vm_id: str
    address: str
    versions: tuple[messages.Version, ...]
    attachments: tuple[messages.Attachment, ...]
