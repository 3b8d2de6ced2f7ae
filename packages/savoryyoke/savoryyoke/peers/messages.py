"""Messages that entries exchange."""

import dataclasses

from savoryyoke.placement import notices
from savoryyoke.placement import rate_limits
from savoryyoke.published import models as published_models
from savoryyoke.quarantine import evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """Hold the number of requests in flight from an entry to a target."""

    target_id: str
    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowTarget:
    """Report that a target's steps take ``pace`` times the usual time."""

    address: str
    pace: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Report the state of an entry.

    ``incarnation`` is a random number chosen at each start, and ``sequence``
    grows with each heartbeat. ``caller_address`` is the address to which
    callers connect. ``published_as_of`` is the revision of the entry's view of
    published values, and ``configuration_version`` the version of the
    configuration in force, 0 without one. ``contact_hosts`` are hosts of
    entries from which it receives heartbeats. ``slow_targets`` are the targets
    whose own VMs have reported to it that they are slow. ``leaving_targets``
    are the targets that have announced to it that they leave, and
    ``rate_reports`` its reports on the rate limits that targets state.
    ``evidence_digest`` is a digest of its crash reports, and ``crashes`` are
    the reports that another entry seems to lack. ``can_relay`` is false for an
    entry that does not pass on heartbeats, and ``wants_relay`` asks a
    recipient in another data centre to pass this one on. ``can_batch`` is
    false for an entry that does not support batches of heartbeats.
    """

    sender_id: str
    sender_host: str
    incarnation: int
    sequence: int
    caller_address: str
    data_centre: str
    is_ready: bool
    is_leaving: bool
    published_as_of: published_models.Revision
    in_flight: tuple[InFlight, ...]
    contact_hosts: tuple[str, ...]
    slow_targets: tuple[SlowTarget, ...] = ()
    leaving_targets: tuple[notices.LeavingTarget, ...] = ()
    rate_reports: tuple[rate_limits.RateReport, ...] = ()
    evidence_digest: int = 0
    crashes: tuple[evidence.CrashReport, ...] = ()
    configuration_version: int = 0
    can_relay: bool = False
    wants_relay: bool = False
    can_batch: bool = False

    def with_sequence(self, sequence):
        """Return an equal heartbeat with another sequence number.

        ``dataclasses.replace`` takes ten times as long, and an entry among 64
        receives 170 heartbeats per second.
        """
        repeated = object.__new__(type(self))
        repeated.__dict__.update(self.__dict__, sequence=sequence)
        return repeated
