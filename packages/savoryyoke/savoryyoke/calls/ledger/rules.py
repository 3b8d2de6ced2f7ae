"""Apply the rules that keep a call to one run and a true answer."""

from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import responses
from savoryyoke.calls import outcomes

# Each process of a chain of heirs sets the clock ahead by 1 ms.
SEAL_MARGIN_MS = 16

_Phase = records.Phase
_MayHaveRunReason = outcomes.MayHaveRunReason
_NotRunReason = outcomes.NotRunReason
_RejectionReason = outcomes.RejectionReason


class Rules:
    """Take the records of a library through the phases of a call.

    Each method returns a tuple of decisions.
    """

    def __init__(self, *, library, handover, limits):
        self._library = library
        self._handover = handover
        self._limits = limits
        self._queued = {}

    def offer(self, book, event, *, now_s):
        """Admit the call, attach the attempt, or answer it."""
        record = book.find(event.key)
        if record is None:
            return self._offer_unknown(book, event, now_s)
        if record.phase is _Phase.ELSEWHERE:
            return self._offer_elsewhere(record, event, now_s)
        if record.phase is not _Phase.SEALED:
            return (responses.respond(event, responses.repeat(record)),)
        return self._offer_sealed(record, event, now_s)

    def attach(self, record, event, *, now_s):
        """Let the attempt wait for a call in progress."""
        waiters = record.waiters_by_attempt or {}
        limit = self._limits.attempts_per_key_limit
        made = ()
        if event.attempt_id not in waiters and len(waiters) >= limit:
            made = responses.respond_all(
                record.detach_expired(now_s=now_s),
                responses.lost(_MayHaveRunReason.DEADLINE),
            )
        if event.attempt_id not in waiters and len(waiters) >= limit:
            return responses.doubt(event, _MayHaveRunReason.TOO_MANY_ATTEMPTS)
        record.attach(
            attempt_id=event.attempt_id,
            number=event.number,
            expires_s=now_s + event.remaining_s,
        )
        return made

    def seal(self, book, event, *, now_s):
        """Close the key if it has not run, for a call not in progress."""
        record = book.find(event.key)
        if record is None:
            refusal = self._refuse_by_window(book, event, now_s)
            if refusal:
                return refusal
            return self._seal_unknown(book, event, _NotRunReason.SEALED, now_s)
        if record.phase is _Phase.SEALED:
            return self._seal(record, event, _NotRunReason.SEALED, now_s)
        if record.phase is _Phase.ELSEWHERE:
            return self._detach_in_doubt(record, event)
        return (responses.respond(event, responses.repeat(record)),)

    def withdraw(self, record, event, *, now_s):
        """Detach the attempt; abandon a queued call that no other wants."""
        others = (record.waiters_by_attempt or {}).keys() - {event.attempt_id}
        wanted = record.is_wanted(now_s=now_s, by=others)
        if record.phase is _Phase.HANDED_OVER or wanted:
            return self._detach_in_doubt(record, event)
        made = self.end_unrun(record, _NotRunReason.SEALED, now_s=now_s)
        outcome = self._not_run(_NotRunReason.SEALED)
        return (
            decisions.Abandon(key=event.key),
            responses.respond(event, outcome),
            *made,
        )

    def hand_over(self, record, *, now_s):
        """Pass the point of no return, if an attempt still wants it."""
        key = record.book.key(record)
        if not record.is_wanted(now_s=now_s):
            return self._expire(record, now_s)
        del self._queued[record]
        record.phase = _Phase.HANDED_OVER
        return (decisions.HandOver(key=key),)

    def expire_queued(self, *, now_s):
        """Abandon the queued calls whose attempts' deadlines have passed."""
        made = []
        for record in tuple(self._queued):
            if not record.is_wanted(now_s=now_s):
                made.extend(self._expire(record, now_s))
        return tuple(made)

    def complete(self, record, answer):
        """End a call with the application's answer."""
        record.phase = _Phase.RAN
        record.status = answer.status
        made = self._end(record, outcomes.Ran(answer=answer))
        self._library.answers.keep(record, answer)
        return made

    def end_unrun(self, record, reason, *, now_s, retry_after_s=0.0):
        """End a call that has not run and void its attempts."""
        self._queued.pop(record, None)
        book = record.book
        book.seal(record, seal_ms=self._seal_ms(book, now_s))
        outcome = self._not_run(reason, retry_after_s=retry_after_s)
        return self._end(record, outcome)

    def end_lost(self, record):
        """End a call that may have run."""
        record.phase = _Phase.LOST
        return self._end(record, responses.repeat(record))

    def take_over(self, record, copy, *, now_s):
        """End a call that was in progress elsewhere as ``copy`` says."""
        if copy.phase is _Phase.SEALED:
            return self.end_unrun(record, _NotRunReason.SEALED, now_s=now_s)
        if copy.phase is not _Phase.RAN:
            return self.end_lost(record)
        if copy.answer is not None:
            return self.complete(record, copy.answer)
        record.phase = _Phase.RAN
        record.status = copy.status
        return self._end(record, responses.repeat(record))

    def _detach_in_doubt(self, record, event):
        waiters = record.detach(attempt_id=event.attempt_id)
        outcome = responses.lost(_MayHaveRunReason.IN_PROGRESS)
        return (
            responses.respond(event, outcome),
            *responses.respond_all(waiters, outcome),
        )

    def _offer_elsewhere(self, record, event, now_s):
        if record.book.source_lost:
            return responses.doubt(event, _MayHaveRunReason.APPLICATION_LOST)
        return self.attach(record, event, now_s=now_s)

    def _offer_sealed(self, record, event, now_s):
        book = record.book
        refusal = self._refuse_by_window(book, event, now_s)
        if refusal:
            return refusal
        reason = self._refusal(book, event, record.seal_ms)
        if reason is not None:
            return self._seal(record, event, reason, now_s)
        return self._admit(record, event, now_s)

    def _offer_unknown(self, book, event, now_s):
        refusal = self._refuse_by_window(book, event, now_s)
        if refusal:
            return refusal
        reason = self._refusal(book, event, book.seal_floor_ms)
        if reason is not None:
            return self._seal_unknown(book, event, reason, now_s)
        if not self._library.make_room(now_s=now_s):
            return self._refuse_full(book, event, now_s)
        record = book.add(
            event.key, fingerprint=event.fingerprint, phase=_Phase.QUEUED
        )
        return self._admit(record, event, now_s)

    def _refuse_by_window(self, book, event, now_s):
        window = event.key.window
        if window > book.window(now_s=now_s):
            return responses.reject(event, _RejectionReason.KEY_NOT_ISSUED)
        if window < book.record_floor:
            return responses.doubt(event, _MayHaveRunReason.RECORD_DROPPED)
        if window < self._library.accept_floor(book, now_s=now_s):
            outcome = responses.refuse_window(limits=self._limits)
            return (responses.respond(event, outcome),)
        return ()

    def _refusal(self, book, event, seal_ms):
        stamp_ms = max(event.stamp_ms, book.window_start_ms(event.key))
        # The same millisecond counts as before the seal: the attempt may
        # have arrived on either side of it.
        if stamp_ms <= seal_ms:
            return _NotRunReason.SUPERSEDED
        if event.remaining_s <= 0:
            return _NotRunReason.DEADLINE
        return None

    def _admit(self, record, event, now_s):
        record.phase = _Phase.QUEUED
        self._queued[record] = None
        self.attach(record, event, now_s=now_s)
        admit = decisions.Admit(key=event.key, attempt_id=event.attempt_id)
        return (admit,)

    def _expire(self, record, now_s):
        made = self.end_unrun(record, _NotRunReason.DEADLINE, now_s=now_s)
        return (decisions.Abandon(key=record.book.key(record)), *made)

    def _seal_ms(self, book, now_s):
        hold_ms = self._limits.seal_hold_ms + SEAL_MARGIN_MS
        return book.clock_ms(now_s=now_s) + hold_ms

    def _seal(self, record, event, reason, now_s):
        book = record.book
        book.seal(record, seal_ms=self._seal_ms(book, now_s))
        return (responses.respond(event, self._not_run(reason)),)

    def _seal_unknown(self, book, event, reason, now_s):
        if not self._library.make_room(now_s=now_s):
            return self._refuse_full(book, event, now_s)
        record = book.add(
            event.key, fingerprint=event.fingerprint, phase=_Phase.SEALED
        )
        return self._seal(record, event, reason, now_s)

    def _refuse_full(self, book, event, now_s):
        book.seal_unknown(seal_ms=self._seal_ms(book, now_s))
        outcome = self._not_run(_NotRunReason.LEDGER_FULL)
        return (responses.respond(event, outcome),)

    def _not_run(self, reason, *, retry_after_s=0.0):
        return responses.refuse(
            reason, retry_after_s=retry_after_s, limits=self._limits
        )

    def _end(self, record, outcome):
        made = responses.respond_all(record.take_waiters(), outcome)
        answer = outcome.answer if isinstance(outcome, outcomes.Ran) else None
        return (*made, *self._handover.transfer(record, answer=answer))
