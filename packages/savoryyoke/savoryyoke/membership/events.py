"""Define the events that membership processes."""

import dataclasses

from savoryyoke.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """Describe one VM of the platform's VM list.

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
    """Report a VM list; ``sequence`` increases with each published list."""

    entries: tuple[VmEntry, ...]
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageReceived:
    """Report a message and the address of its sender."""

    message: messages.Message
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Report that one tick period has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveRequested:
    """Request the announcement that this process is about to leave."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """Request the announcement that this process has left."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionsChanged:
    """Replace the versions that the messages of this process carry."""

    versions: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttachmentsChanged:
    """Replace the attachments that the messages of this process carry.

    The next few messages and the answers to joining members carry them.
    """

    attachments: tuple[messages.Attachment, ...]
