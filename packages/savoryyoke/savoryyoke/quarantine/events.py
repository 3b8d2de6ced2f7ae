"""Define the events of the quarantine package."""

import dataclasses

from savoryyoke.quarantine import evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallOffered:
    """Report a call that an entry is about to route."""

    call_id: str
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallSucceeded:
    """Report at an entry that a back end answered a call in full."""

    fingerprint: bytes


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
    """Report that a heartbeat has room for ``report_limit`` reports."""

    report_limit: int
