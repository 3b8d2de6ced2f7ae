"""Define what a caller may be told about a non-idempotent call."""

import dataclasses
import enum
import math


class NotRunReason(enum.Enum):
    """Say why a call did not run and why no run can still follow.

    Only the ledger with the authority over the key gives a reason, but for
    ``UNBOUND_KEY``. Each but ``UNBOUND_KEY`` and ``WINDOW_CLOSED`` comes with
    a seal that voids every attempt that arrived before the answer.
    """

    # The entry never forwards a key that names no target.
    UNBOUND_KEY = 'unbound-key'
    # The record of each accepted key of the window is still there, this key
    # has none, and a closed window never opens again.
    WINDOW_CLOSED = 'window-closed'
    # The attempt arrived before a seal of the key; the seal voids it.
    SUPERSEDED = 'superseded'
    # The call left the queue at the request of its last attempt.
    SEALED = 'sealed'
    # Each attempt's deadline passed before the call left the queue.
    DEADLINE = 'deadline'
    # Admission refused the call before it was handed to the application.
    REFUSED = 'refused'
    # The application never received a byte, such as a refused connection.
    HAND_OVER_FAILED = 'hand-over-failed'
    # The ledger has no room; a seal over all its unknown keys was set.
    LEDGER_FULL = 'ledger-full'


class MayHaveRunReason(enum.Enum):
    """Say why it is unknown whether a call ran."""

    INCARNATION_GONE = 'incarnation-gone'
    RECORD_DROPPED = 'record-dropped'
    APPLICATION_LOST = 'application-lost'
    IN_PROGRESS = 'in-progress'
    TOO_MANY_ATTEMPTS = 'too-many-attempts'
    HAND_OVER_PENDING = 'hand-over-pending'
    TARGET_UNREACHABLE = 'target-unreachable'
    DEADLINE = 'deadline'
    REDIRECT_LIMIT = 'redirect-limit'


class RejectionReason(enum.Enum):
    """Say why a request was rejected without a word on the key's call."""

    KEY_REUSED = 'key-reused'
    KEY_NOT_ISSUED = 'key-not-issued'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold the application's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    @property
    def size_bytes(self):
        """Return the size that counts against the limits, in bytes."""
        headers_bytes = sum(len(n) + len(v) for n, v in self.headers)
        return len(self.body) + headers_bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """Report that the call ran once and gave this answer."""

    answer: Answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class RanWithoutAnswer:
    """Report that the call ran once; its answer is no longer kept."""

    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """Report that the call did not run, by any attempt that has arrived.

    The claim holds when it is delivered within ``holds_for_s`` seconds of
    the request that it answers. The caller may come back after
    ``retry_after_s`` seconds, with the same key if ``same_key_may_return``.
    """

    reason: NotRunReason
    retry_after_s: float
    same_key_may_return: bool
    holds_for_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """Report that the call may have run, may run still, or did not run."""

    reason: MayHaveRunReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """Report a request that is at odds with its key.

    This request did not run and never will; nothing is said on the call
    that the key belongs to, which is left untouched.
    """

    reason: RejectionReason


def refuse_unbound(*, retry_after_s):
    """Return the outcome for a key without a binding, decided at once."""
    return NotRun(
        reason=NotRunReason.UNBOUND_KEY,
        retry_after_s=retry_after_s,
        same_key_may_return=False,
    )
