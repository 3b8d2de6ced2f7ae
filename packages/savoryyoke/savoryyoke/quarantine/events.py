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
    """Report a call that an entry is about to send to a target directly.

    ``prompt_parts`` are the digests of the parts of its prompt that other
    requests share.
    """

    call_id: str
    fingerprint: bytes
    prompt_parts: frozenset[bytes] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallSucceeded:
    """Report at an entry that a back end answered a call completely.

    ``release`` is the release that the back end runs, and ``prompt_parts``
    are the digests of the shared parts of the call's prompt.
    """

    fingerprint: bytes
    release: str = ''
    prompt_parts: frozenset[bytes] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersCounted:
    """Report how many other processes exchange evidence with this one."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunRequested:
    """Report at a target a call that is about to start.

    ``reports`` are the crash reports that the entry sent with a suspect.
    """

    call_id: str
    fingerprint: bytes
    reports: tuple[evidence.CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunEnded:
    """Report at a target that a call has ended without a crash."""

    call_id: str
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendCrashed:
    """Report at a target that its back end crashed while running calls.

    ``crash_id`` is globally unique and never reused. An intended stop or the
    loss of the whole VM must not be reported.
    """

    crash_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportsReceived:
    """Report the evidence of another process."""

    reports: tuple[evidence.CrashReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatDue:
    """Report that a heartbeat can carry ``report_limit`` crash reports.

    Each report may list up to ``digests_per_report`` requests, or any number
    if it is None.
    """

    report_limit: int
    digests_per_report: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryLost:
    """Report at an entry a try that a target did not answer completely.

    ``target`` is a ``placement.models.Target``. ``is_broken`` is false if
    the caller gave up before the target had answered or failed.
    ``prompt_parts`` are the digests of the shared parts of its prompt.
    """

    target: object
    fingerprint: bytes
    is_broken: bool
    prompt_parts: frozenset[bytes] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectionRefused:
    """Report that a target refused a connection."""

    target: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetsListed:
    """Report the complete list of published targets."""

    targets: tuple
