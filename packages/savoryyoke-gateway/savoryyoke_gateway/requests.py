"""Define the gateway's representation of requests and answers."""

import dataclasses

# These statuses tell a caller that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSize:
    """Hold the tokens of a prompt and those that its answer may have."""

    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """Hold a caller's request.

    ``target`` is the path and query as the caller sent them, ``path`` the
    path alone. ``headers`` are those to forward. ``time_left_s`` is the time
    until the caller's deadline, ``key`` the caller's API key, and
    ``resume_after`` the id of the last event of a stream that the caller has
    received; each is None if the request does not contain it.
    ``shared_prompt_parts`` are the ids of the parts of its prompt that other
    requests may share, in order. ``size`` is the size that it states, or None.
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
    shared_prompt_parts: tuple[str, ...] = ()
    size: RequestSize | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryTerms:
    """Hold the values that the gateway sets in a request to a target.

    ``time_left_s`` is the time after which the target should stop work.
    ``urgency`` is lower for requests that the target should start first; it
    is None if the target is not told.
    """

    team_name: str | None
    target_id: str
    time_left_s: float
    resume_after: str | None
    urgency: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Hold the head of a target's answer.

    ``headers`` are those to forward. ``is_refusal`` is true if the target
    states that it did not run the request, ``is_misdirected`` if another
    target than the intended one answered. ``fault`` names what makes the
    answer unusable; it is None for a usable answer.

    ``is_leaving`` is true if the intended target states that it is leaving.
    ``pause_s`` is how many seconds it must get no requests, None if it
    states no such time; ``unusable_pause`` is the text of a stated time that
    can't be parsed. ``rate_limit_per_s`` is how many requests a second it
    takes from all entries together, None if it states no limit;
    ``unusable_rate_limit`` is the text of a limit that can't be parsed.
    ``at_fault_target_id`` is the id of the target that the answer names as
    the cause of a refusal, None if it names none.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_refusal: bool
    is_misdirected: bool
    fault: str | None
    is_leaving: bool = False
    pause_s: float | None = None
    unusable_pause: str | None = None
    rate_limit_per_s: float | None = None
    unusable_rate_limit: str | None = None
    at_fault_target_id: str | None = None

    @property
    def is_success(self):
        """Return whether the status reports success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold a complete answer for a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def is_failure(self):
        """Return whether a further try at another target may succeed."""
        return self.status >= 500 or self.status in NOT_RUN_STATUSES
