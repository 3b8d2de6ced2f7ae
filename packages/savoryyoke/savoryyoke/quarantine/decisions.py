"""Define the decisions of the quarantine package."""

import dataclasses

from savoryyoke.quarantine import evidence


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Let an entry route the call as usual."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Isolate:
    """Let an entry route a suspect by ``isolation.rank_targets``.

    ``reports`` travel with the call.
    """

    call_id: str
    reports: tuple[evidence.CrashReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseForGood:
    """Refuse a call that did not run and should not be sent again."""

    call_id: str
    fingerprint: bytes
    crashes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withhold:
    """Send the request to no target that runs one of ``releases``.

    ``retry_after_s`` is the time until it may be tried there again, after
    ``crashes``. With ``includes_others`` it goes to no other release either.
    """

    fingerprint: bytes
    releases: frozenset[str]
    crashes: int
    retry_after_s: float
    includes_others: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """Hand the call to the back end."""

    call_id: str
    suspect: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseWhileIsolating:
    """Refuse a suspect that did not run, as another one is running.

    If it is the same request, the entry should wait for its outcome
    and not try another target.
    """

    call_id: str
    same_request: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopRun:
    """Stop a run of a request that has been quarantined meanwhile."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareReports:
    """Attach reports to failed answers and to heartbeats.

    ``urgent`` reports are worth a message of their own.
    """

    reports: tuple[evidence.CrashReport, ...]
    urgent: bool
