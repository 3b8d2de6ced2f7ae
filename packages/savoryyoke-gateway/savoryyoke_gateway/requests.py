"""Requests and answers as the gateway handles them."""

import dataclasses

# These statuses promise a caller that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """Hold a caller's request.

    ``target`` is the path and query as the caller sent them, ``path`` the
    path alone. ``headers`` are those to pass on. ``time_left_s`` is what
    the caller will wait, ``key`` the caller's API key, and ``resume_after``
    the id of the last event that the caller has of a stream; each is None
    if the caller did not say.
    """

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    key: str | None
    time_left_s: float | None
    resume_after: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryTerms:
    """Say on what terms a request goes to one target.

    ``time_left_s`` is when the target should stop work.
    """

    team_name: str | None
    target_id: str
    time_left_s: float
    resume_after: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Hold the head of a target's answer.

    ``headers`` are those to pass on. ``is_refusal`` is true where the
    target states that it did not run the request, ``is_misdirected`` where
    it is not the target that was meant. ``fault`` names what makes the
    answer unusable; None if it is sound.

    ``is_leaving`` is true where the target that was meant says that it
    leaves. ``pause_s`` is how long it wants nothing, None if it does not
    say; ``unusable_pause`` is what it said where that makes no sense.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_refusal: bool
    is_misdirected: bool
    fault: str | None
    is_leaving: bool = False
    pause_s: float | None = None
    unusable_pause: str | None = None

    @property
    def is_success(self):
        """Return whether the status reports success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold a whole answer for a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def is_failure(self):
        """Return whether another target may answer better."""
        return self.status >= 500 or self.status in NOT_RUN_STATUSES
