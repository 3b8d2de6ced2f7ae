"""Define the events of the quarantine package."""

import dataclasses

from savoryyoke.quarantine import evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallOffered:
    """Report a call that an entry is about to route."""

    call_id: str
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendOffered:
    """Report a call that an entry is about to send to a target itself."""

    call_id: str
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallSucceeded:
    """Report at an entry that a back end answered a call in full.

    ``release`` is what the back end ran.
    """

    fingerprint: bytes
    release: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersHeard:
    """Report how many other processes with evidence are heard."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunRequested:
    """Report at a target a call that admission is about to start.

    ``reports`` is what the entry sent along with a suspect.
    """

    call_id: str
    fingerprint: bytes
    reports: tuple[evidence.CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunEnded:
    """Report at a target that a run is over, without a crash."""

    call_id: str
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendCrashed:
    """Report at a target that its back end died under its calls.

    ``crash_id`` is unique over the fleet and all time. A stop that was
    ordered, or a loss of the whole VM, is no crash of this kind.
    """

    crash_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportsReceived:
    """Report what another process knows."""

    reports: tuple[evidence.CrashReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatDue:
    """Report that a heartbeat has room for ``report_limit`` reports.

    Each may hold ``digests_per_report`` requests; None: any number.
    """

    report_limit: int
    digests_per_report: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryLost:
    """Report at an entry a try that a target did not answer in full.

    ``target`` is a ``placement.models.Target``. ``is_broken`` is false where
    the caller left before the target answered or fell silent.
    """

    target: object
    fingerprint: bytes
    is_broken: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectionRefused:
    """Report that nothing listens at a target's address."""

    target: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetsListed:
    """Report all targets that are published."""

    targets: tuple
