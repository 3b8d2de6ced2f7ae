"""Define the decisions of the quarantine package."""

import dataclasses

from savoryyoke.quarantine import evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Route the call as usual."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Isolate:
    """Route a suspect in the order of ``isolation.rank_targets``.

    ``reports`` are sent to the target together with the call.
    """

    call_id: str
    reports: tuple[evidence.CrashReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusePermanently:
    """Refuse a call that did not run and must not be sent again."""

    call_id: str
    fingerprint: bytes
    crashes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withhold:
    """Don't send the request to targets that run one of ``releases``.

    ``pattern`` are the digests that quarantined requests have in common,
    ``crashes`` is the number of their crashes, and ``retry_after_s`` the
    seconds until one may be tried there again. If ``includes_other_releases``
    is true, the request must not be sent to any other release either.
    ``incomplete_s`` is the time in seconds after which the reports of the
    crashes are complete: a request should wait for it before it is refused.
    """

    pattern: frozenset[bytes]
    releases: frozenset[str]
    crashes: int
    retry_after_s: float
    includes_other_releases: bool = False
    incomplete_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """Send the call to the back end."""

    call_id: str
    suspect: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseWhileIsolating:
    """Refuse a suspect that did not run because another one is running.

    If ``same_request`` is true, the running suspect has the same content.
    The entry should then wait for its result and not try another target.
    """

    call_id: str
    same_request: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopRun:
    """Stop a running call whose request has been quarantined since."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareReports:
    """Attach reports to failed answers and to heartbeats.

    ``urgent`` reports should be sent immediately in a separate message.
    """

    reports: tuple[evidence.CrashReport, ...]
    urgent: bool
