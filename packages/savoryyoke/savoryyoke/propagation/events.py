"""Define the events that propagation takes in."""

import dataclasses

from savoryyoke.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """Name a live process; ``role`` is ``entry`` or ``target``."""

    vm_id: str
    role: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeersChanged:
    """Report the other processes that are taken to be alive."""

    peers: tuple[Peer, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SummaryReceived:
    """Report the versions that a peer holds."""

    vm_id: str
    versions: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateReceived:
    """Report a peer's answer to ``RequestState``.

    ``held`` are its newest versions; ``in_force`` is empty, or the versions
    of the base and the overlay that are in force at the site asked for.
    """

    vm_id: str
    held: tuple[messages.Version, ...]
    in_force: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateRequestFailed:
    """Report that a peer gave no answer to ``RequestState``."""

    vm_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateRequested:
    """Report that a peer asks for the state at a site."""

    request_id: int
    site: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformRead:
    """Report a document as the platform gave it."""

    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformUnchanged:
    """Report that a watch ended without news."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformFailed:
    """Report that a call of the platform failed."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentFetched:
    """Report a document that a peer gave."""

    vm_id: str
    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchFailed:
    """Report that a peer did not give a document."""

    vm_id: str
    name: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentRequested:
    """Report that a peer asks for a document."""

    request_id: int
    name: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServeEnded:
    """Report that a document was sent, or that its peer went away."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Report that time has passed; send it every quarter of a second."""
