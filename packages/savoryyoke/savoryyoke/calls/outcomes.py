"""Define the outcomes of a non-idempotent call that a caller may get."""

import dataclasses
import enum
import math


class NotRunReason(enum.Enum):
    """Say why a call did not run and why it can no longer run.

    Only the ledger with the authority over the key returns these reasons,
    except ``UNBOUND_KEY``, which an entry returns. With each reason except
    ``UNBOUND_KEY`` and ``WINDOW_CLOSED`` the ledger sets a seal that voids
    every attempt that arrived before the answer.
    """

    # The entry does not forward a key that has no target.
    UNBOUND_KEY = 'unbound-key'
    # The records of all accepted keys of the window are still kept, this key
    # has none, and a closed window never reopens.
    WINDOW_CLOSED = 'window-closed'
    # The attempt arrived before the key was sealed; the seal voids it.
    SUPERSEDED = 'superseded'
    # The last attempt of the call asked for its removal from the queue.
    SEALED = 'sealed'
    # Each attempt's deadline passed before the call left the queue.
    DEADLINE = 'deadline'
    # Admission refused the call before it was handed to the application.
    REFUSED = 'refused'
    # The application never received a byte, such as a refused connection.
    HAND_OVER_FAILED = 'hand-over-failed'
    # The ledger is full; all keys without a record were sealed.
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
    """Say why a request was rejected, whatever became of the key's call."""

    KEY_REUSED = 'key-reused'
    KEY_NOT_ISSUED = 'key-not-issued'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold the complete answer of the application."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    @property
    def size_bytes(self):
        """Return the size that counts against the limits, in bytes."""
        headers_bytes = sum(
            len(name) + len(value) for name, value in self.headers
        )
        return len(self.body) + headers_bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """Report that the call ran once, with this answer."""

    answer: Answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class RanWithoutAnswer:
    """Report that the call ran once; its answer is no longer kept."""

    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """Report that no attempt that has arrived ran the call.

    The outcome is valid only if it is delivered within ``holds_for_s``
    seconds of the request that it answers. The caller may retry after
    ``retry_after_s`` seconds, with the same key if ``same_key_may_return``.
    """

    reason: NotRunReason
    retry_after_s: float
    same_key_may_return: bool
    holds_for_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """Report that it is unknown whether the call ran or will still run."""

    reason: MayHaveRunReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """Report a request that does not fit its key.

    This request did not run and will not run. The call that the key belongs
    to is not affected, and its state is not reported.
    """

    reason: RejectionReason


def refuse_unbound(*, retry_after_s):
    """Return the outcome of a request whose key has no binding."""
    return NotRun(
        reason=NotRunReason.UNBOUND_KEY,
        retry_after_s=retry_after_s,
        same_key_may_return=False,
    )
