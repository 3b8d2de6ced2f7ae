"""Define the record that a ledger keeps of one key."""

import collections
import dataclasses
import enum

from savoryyoke.calls import outcomes

NEVER_SEALED_MS = -1


class Phase(enum.Enum):
    """Define the phases of a call.

    An ``ELSEWHERE`` call is in progress at the process that handed over. A
    ``LOST`` call may have run; a ``SEALED`` call has not run.
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
    """Hold the message of an attempt that waits for the outcome.

    ``expires_s`` is the monotonic time of the attempt's deadline.
    """

    number: int
    expires_s: float


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Record:
    """Hold the state of one key.

    ``seal_ms`` is the newest stamp that a seal of the key voids and
    ``status`` the status code of the answer, or 0.
    """

    table: object
    suffix: str
    window: int
    fingerprint: bytes | None
    phase: Phase
    seal_ms: int = NEVER_SEALED_MS
    status: int = 0
    answer: outcomes.Answer | None = None
    is_in_seal_queue: bool = False
    waiters_by_attempt: dict | None = None

    @property
    def is_local(self):
        """Return whether the call is in progress in this process."""
        return self.phase in (Phase.QUEUED, Phase.HANDED_OVER)

    def attach(self, *, attempt_id, number, expires_s):
        """Make an attempt wait for the outcome."""
        if self.waiters_by_attempt is None:
            self.waiters_by_attempt = {}
        self.waiters_by_attempt[attempt_id] = Waiter(
            number=number, expires_s=expires_s
        )

    def detach(self, *, attempt_id):
        """Remove and return the waiter of an attempt, by attempt id."""
        waiters = self.waiters_by_attempt or {}
        if attempt_id not in waiters:
            return {}
        return {attempt_id: waiters.pop(attempt_id)}

    def detach_expired(self, *, now_s):
        """Remove and return the waiters whose deadline has passed."""
        waiters = self.waiters_by_attempt or {}
        expired = {
            attempt_id: waiter
            for attempt_id, waiter in waiters.items()
            if waiter.expires_s <= now_s
        }
        for attempt_id in expired:
            del waiters[attempt_id]
        return expired

    def has_live_waiter(self, *, now_s, attempt_ids=None):
        """Return whether an attempt waits whose deadline has not passed.

        Only ``attempt_ids`` are checked, or all attempts if it is None. Each
        must be waiting.
        """
        waiters = self.waiters_by_attempt or {}
        return any(
            waiters[attempt_id].expires_s > now_s
            for attempt_id in (waiters if attempt_ids is None else attempt_ids)
        )

    def take_waiters(self):
        """Remove and return all waiters, by attempt id."""
        waiters = self.waiters_by_attempt or {}
        self.waiters_by_attempt = None
        return waiters


class AnswerCache:
    """Keep the newest answers within limits of bytes."""

    def __init__(self, *, answer_limit_bytes, total_limit_bytes):
        self._answer_limit_bytes = answer_limit_bytes
        self._total_limit_bytes = total_limit_bytes
        self._sizes_by_record = collections.OrderedDict()
        self.total_bytes = 0

    def keep(self, record, answer):
        """Keep ``answer`` in ``record``; drop the oldest if over the limit."""
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
