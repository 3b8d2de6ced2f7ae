"""Define the messages that members exchange as datagrams."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """Order the states of one incarnation; the higher one takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """Describe the state of one member.

    ``incarnation`` is the random 64-bit number that the process generated
    when it started; 0 means that the member is only known from the VM list.
    ``refutation`` is a counter that orders updates: to refute an update about
    any incarnation on its VM, the member publishes a greater counter.
    ``role``, ``data_centre`` and ``address`` form the profile of the member;
    they are empty in updates about members that failed or left, and if the
    receiver can be expected to know them.
    """

    vm_id: str
    incarnation: int
    refutation: int
    state: MemberState
    role: str = ''
    data_centre: str = ''
    address: str = ''

    def precedence(self):
        """Return the sort key; the update with the greater key is valid."""
        return (self.refutation, self.incarnation, self.state)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """Identify one revision of a document.

    ``digest`` is a 64-bit digest of its content, or 0 if not given.
    """

    name: str
    revision: int
    digest: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attachment:
    """Carry an opaque payload of another component, limited in size."""

    name: str
    content: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """Define the fields that all messages share.

    ``versions_digest`` is a digest of the sender's versions, which are listed
    in full only after a change or a difference from a peer's.
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
    """Request an acknowledgement from the receiver.

    A sender that sets ``joining`` also requests the summary and a sample of
    the members in the receiver's table.
    """

    joining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest(Message):
    """Request the receiver to probe ``subject_id`` for the sender."""

    subject_id: str
    subject_address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ack(Message):
    """Answer the direct or relayed probe with the same ``sequence``.

    ``subject_id`` is the member that was probed. ``reached`` is false if a
    relay had no answer from it; this shows that the relay is reachable from
    the sender of the probe, and that the subject is not from the relay.
    """

    subject_id: str
    reached: bool = True
