"""Define the events that propagation processes."""

import dataclasses

from savoryyoke.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """Identify a live process; ``role`` is ``entry`` or ``target``."""

    vm_id: str
    role: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeersChanged:
    """Report all other processes that are considered alive."""

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
    of the base and the overlay that are in force at the requested site.
    """

    vm_id: str
    held: tuple[messages.Version, ...]
    in_force: tuple[messages.Version, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateRequestFailed:
    """Report that a peer did not answer ``RequestState``."""

    vm_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateRequested:
    """Report that a peer requests the state at a site."""

    request_id: int
    site: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformRead:
    """Report a document that was read from the platform."""

    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformUnchanged:
    """Report that a call to the platform ended without a newer revision."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformFailed:
    """Report that a call to the platform failed."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentFetched:
    """Report a document that was fetched from a peer."""

    vm_id: str
    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchFailed:
    """Report that a document could not be fetched from a peer."""

    vm_id: str
    name: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentRequested:
    """Report that a peer requests a document."""

    request_id: int
    name: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServeEnded:
    """Report that a document was sent or that the peer disconnected."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Report that one tick period of 0.25 s has passed."""
