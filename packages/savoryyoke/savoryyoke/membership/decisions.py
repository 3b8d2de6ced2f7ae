"""Define the decisions that membership hands out."""

import dataclasses

from savoryyoke.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message as one datagram to an address."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberJoined:
    """Report a member that can take part.

    ``incarnation`` is 0 while only the VM list has named it; the decision
    is repeated once the incarnation is learnt, and for each new one.
    """

    vm_id: str
    incarnation: int
    role: str
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberSuspected:
    """Report a member that did not answer and may still refute."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberFailed:
    """Report an incarnation that is taken to be dead."""

    vm_id: str
    incarnation: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberLeaving:
    """Report a member that should get no new work."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberLeft:
    """Report a member that left by its own word or that of the VM list."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelfSuspected:
    """Report that this process cannot trust its own view."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelfConfirmed:
    """Report that other members have answered this process again."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmListRefused:
    """Report a VM list that was refused whole; the last good one stays."""

    sequence: int
    faults: tuple


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SummaryReceived:
    """Hand over versions or attachments that a member's message carried."""

    vm_id: str
    address: str
    versions: tuple[messages.Version, ...]
    attachments: tuple[messages.Attachment, ...]
