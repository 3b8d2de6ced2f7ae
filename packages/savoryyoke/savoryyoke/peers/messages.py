"""What entries tell each other."""

import dataclasses

from savoryyoke.placement import notices
from savoryyoke.quarantine import evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """Count the requests that an entry has at a target."""

    target_id: str
    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowTarget:
    """Name a target that takes ``pace`` times the usual time."""

    address: str
    pace: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Report the state of an entry.

    ``incarnation`` is drawn at each start and ``sequence`` grows with each
    heartbeat. ``caller_address`` is where callers connect.
    ``published_as_of`` is the revision of the entry's view of published
    values, ``contact_hosts`` are hosts of entries that it hears, and
    ``slow_targets`` are those that it has heard of from their own VMs.
    ``leaving_targets`` are those whose answers to it said that they leave.
    ``evidence_digest`` sums up what it knows of crashes; ``crashes`` are the
    reports that some entry seems to lack.
    """

    sender_id: str
    sender_host: str
    incarnation: int
    sequence: int
    caller_address: str
    data_centre: str
    is_ready: bool
    is_leaving: bool
    published_as_of: int
    in_flight: tuple[InFlight, ...]
    contact_hosts: tuple[str, ...]
    slow_targets: tuple[SlowTarget, ...] = ()
    leaving_targets: tuple[notices.LeavingTarget, ...] = ()
    evidence_digest: int = 0
    crashes: tuple[evidence.CrashReport, ...] = ()
