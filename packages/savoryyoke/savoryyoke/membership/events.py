"""Define the events that membership takes in."""

import dataclasses

from savoryyoke.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """Describe one VM as the platform lists it.

    ``role`` is ``entry`` or ``target``, ``state`` is ``live`` or ``leaving``
    and ``address`` is the control address, ``host:port``.
    """

    vm_id: str
    role: str
    data_centre: str
    address: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmListRead:
    """Report a VM list; ``sequence`` grows with each list published."""

    entries: tuple[VmEntry, ...]
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """Report a message and the address that it came from."""

    message: messages.Message
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Report that one tick period has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveRequested:
    """Ask the process to announce that it is about to leave."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """Ask the process to announce that it has left."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionsChanged:
    """Replace the versions that the messages of this process carry."""

    versions: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttachmentsChanged:
    """Replace the attachments that the messages of this process carry.

    They ride on the next few messages and on answers to joining members.
    """

    attachments: tuple[messages.Attachment, ...]
