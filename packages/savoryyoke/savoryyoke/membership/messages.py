"""Define the messages that members exchange over datagrams."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """Rank what is said of one incarnation; the higher rank prevails."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """State what is known of one member.

    ``incarnation`` is the random 64-bit number that the process drew when it
    started; 0 means that only the VM list has named the member so far.
    ``refutation`` orders statements: the member itself raises it past any
    statement about its VM that it disagrees with, whichever incarnation that
    was about. ``role``, ``data_centre`` and ``address`` are empty in
    ``SUSPECT`` and ``FAILED`` updates.
    """

    vm_id: str
    incarnation: int
    refutation: int
    state: MemberState
    role: str = ''
    data_centre: str = ''
    address: str = ''

    def precedence(self):
        """Return the key by which the greater of two updates prevails."""
        return (self.refutation, self.incarnation, self.state)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """Name one revision of a document.

    ``digest`` is a 64-bit digest of its content, or 0.
    """

    name: str
    revision: int
    digest: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attachment:
    """Carry an opaque payload of another subject, bounded in bytes."""

    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """Hold what every message says of its sender.

    ``versions_digest`` covers the sender's versions, which are listed in
    full only while they are news to somebody.
    """

    sender_id: str
    sender_incarnation: int
    sender_refutation: int
    sender_state: MemberState
    sequence: int
    versions_digest: int = 0
    versions: tuple[Version, ...] = ()
    attachments: tuple[Attachment, ...] = ()
    updates: tuple[MemberUpdate, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ping(Message):
    """Ask the receiver for an acknowledgement.

    A sender that sets ``joining`` asks also for what the receiver holds of
    members that are not alive.
    """

    joining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest(Message):
    """Ask the receiver to probe ``subject_id`` for the sender."""

    subject_id: str
    subject_address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ack(Message):
    """Answer the probe or the relayed probe with that ``sequence``.

    ``subject_id`` is the member that was probed. ``reached`` is false when a
    relay had no answer from the subject: the relay is then known to be in
    contact, and the subject is not.
    """

    subject_id: str
    reached: bool = True
