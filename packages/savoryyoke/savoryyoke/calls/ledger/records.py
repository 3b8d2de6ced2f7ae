"""Hold what a ledger knows about one key."""

import collections
import dataclasses
import enum

from savoryyoke.calls import outcomes

NEVER_SEALED_MS = -1


class Phase(enum.Enum):
    """Say how far a call has come.

    ``ELSEWHERE`` is a call that the process which left still has in
    progress. ``LOST`` may have run and ``SEALED`` has not.
    """

    QUEUED = 'queued'
    HANDED_OVER = 'handed-over'
    ELSEWHERE = 'elsewhere'
    RAN = 'ran'
    LOST = 'lost'
    SEALED = 'sealed'


IN_PROGRESS = frozenset((Phase.QUEUED, Phase.HANDED_OVER, Phase.ELSEWHERE))


@dataclasses.dataclass(kw_only=True, slots=True)
class Waiter:
    """Remember which message of an attempt waits, and until when."""

    number: int
    expires_s: float


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Record:
    """Hold the state of one key; only its book's ledger changes it."""

    book: object
    suffix: str
    window: int
    fingerprint: bytes | None
    phase: Phase
    seal_ms: int = NEVER_SEALED_MS
    status: int = 0
    answer: outcomes.Answer | None = None
    fold_due: bool = False
    waiters_by_attempt: dict | None = None

    @property
    def is_local(self):
        """Return whether the call is in progress in this process."""
        return self.phase in (Phase.QUEUED, Phase.HANDED_OVER)

    def attach(self, *, attempt_id, number, expires_s):
        """Let an attempt wait for the outcome."""
        if self.waiters_by_attempt is None:
            self.waiters_by_attempt = {}
        self.waiters_by_attempt[attempt_id] = Waiter(
            number=number, expires_s=expires_s
        )

    def detach(self, *, attempt_id):
        """Let an attempt wait no longer; return what waited, by attempt."""
        waiters = self.waiters_by_attempt or {}
        if attempt_id not in waiters:
            return {}
        return {attempt_id: waiters.pop(attempt_id)}

    def detach_expired(self, *, now_s):
        """Drop and return the attempts whose deadline has passed."""
        waiters = self.waiters_by_attempt or {}
        expired = {
            attempt_id: waiter
            for attempt_id, waiter in waiters.items()
            if waiter.expires_s <= now_s
        }
        for attempt_id in expired:
            del waiters[attempt_id]
        return expired

    def is_wanted(self, *, now_s, by=None):
        """Return whether an attempt waits whose deadline has not passed.

        Only the attempts ``by`` count, unless it is None.
        """
        waiters = self.waiters_by_attempt or {}
        return any(
            waiters[attempt_id].expires_s > now_s
            for attempt_id in (waiters if by is None else by)
        )

    def take_waiters(self):
        """Return the waiting attempts and forget them."""
        waiters = self.waiters_by_attempt or {}
        self.waiters_by_attempt = None
        return waiters


class AnswerCache:
    """Keep the newest answers within a limit of bytes."""

    def __init__(self, *, answer_limit_bytes, total_limit_bytes):
        self._answer_limit_bytes = answer_limit_bytes
        self._total_limit_bytes = total_limit_bytes
        self._sizes_by_record = collections.OrderedDict()
        self.total_bytes = 0

    def keep(self, record, answer):
        """Keep ``answer`` in ``record``, at the cost of older answers."""
        size_bytes = answer.size_bytes
        record.answer = None
        if size_bytes > self._answer_limit_bytes:
            return
        record.answer = answer
        self._sizes_by_record[record] = size_bytes
        self.total_bytes += size_bytes
        while self.total_bytes > self._total_limit_bytes:
            oldest = next(iter(self._sizes_by_record))
            self.drop(oldest)

    def drop(self, record):
        """Drop the answer of ``record``, if it is kept."""
        self.total_bytes -= self._sizes_by_record.pop(record, 0)
        record.answer = None
