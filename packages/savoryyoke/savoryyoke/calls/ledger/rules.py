"""Apply the rules that let a call run at most once."""

from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import responses
from savoryyoke.calls import outcomes

# Extends seals, as each heir in a chain sets the clock ahead by 1 ms.
SEAL_MARGIN_MS = 16

_Phase = records.Phase
_MayHaveRunReason = outcomes.MayHaveRunReason
_NotRunReason = outcomes.NotRunReason
_RejectionReason = outcomes.RejectionReason


class Rules:
    """Move the records of a store through the phases of a call.

    Each public method returns a tuple of decisions.
    """

    def __init__(self, *, store, handover, limits):
        self._store = store
        self._handover = handover
        self._limits = limits
        self._queued = {}

    def offer(self, table, event, *, now_s):
        """Admit the call, attach the attempt to it, or answer the attempt."""
        record = table.find_record(event.key)
        if record is None:
            return self._offer_unknown(table, event, now_s)
        if record.phase is _Phase.ELSEWHERE:
            return self._offer_elsewhere(record, event, now_s)
        if record.phase is not _Phase.SEALED:
            return (responses.respond(event, responses.make_outcome(record)),)
        return self._offer_sealed(record, event, now_s)

    def attach(self, record, event, *, now_s):
        """Make the attempt wait for a call in progress."""
        waiters = record.waiters_by_attempt or {}
        limit = self._limits.attempts_per_key_limit
        decided = ()
        if event.attempt_id not in waiters and len(waiters) >= limit:
            decided = responses.respond_all(
                record.detach_expired(now_s=now_s),
                responses.make_may_have_run(_MayHaveRunReason.DEADLINE),
            )
        if event.attempt_id not in waiters and len(waiters) >= limit:
            return responses.respond_may_have_run(
                event, _MayHaveRunReason.TOO_MANY_ATTEMPTS
            )
        record.attach(
            attempt_id=event.attempt_id,
            number=event.number,
            expires_s=now_s + event.remaining_s,
        )
        return decided

    def seal(self, table, event, *, now_s):
        """Seal the key if the call has not run; it is not in progress here."""
        record = table.find_record(event.key)
        if record is None:
            response = self._respond_by_window(table, event, now_s)
            if response:
                return response
            return self._add_seal(table, event, _NotRunReason.SEALED, now_s)
        if record.phase is _Phase.SEALED:
            return self._seal(record, event, _NotRunReason.SEALED, now_s)
        if record.phase is _Phase.ELSEWHERE:
            return self._detach_in_progress(record, event)
        return (responses.respond(event, responses.make_outcome(record)),)

    def withdraw(self, record, event, *, now_s):
        """Detach the attempt; abandon a queued call without other waiters."""
        other_attempt_ids = (record.waiters_by_attempt or {}).keys() - {
            event.attempt_id
        }
        has_other_waiter = record.has_live_waiter(
            now_s=now_s, attempt_ids=other_attempt_ids
        )
        if record.phase is _Phase.HANDED_OVER or has_other_waiter:
            return self._detach_in_progress(record, event)
        decided = self.end_not_run(record, _NotRunReason.SEALED, now_s=now_s)
        outcome = self._make_not_run(_NotRunReason.SEALED)
        return (
            decisions.Abandon(key=event.key),
            responses.respond(event, outcome),
            *decided,
        )

    def hand_over(self, record, *, now_s):
        """Hand the call to the application unless all its attempts expired."""
        key = record.table.make_key(record)
        if not record.has_live_waiter(now_s=now_s):
            return self._expire(record, now_s)
        del self._queued[record]
        record.phase = _Phase.HANDED_OVER
        return (decisions.HandOver(key=key),)

    def expire_queued(self, *, now_s):
        """Abandon the queued calls whose attempts have all expired."""
        decided = []
        for record in tuple(self._queued):
            if not record.has_live_waiter(now_s=now_s):
                decided.extend(self._expire(record, now_s))
        return tuple(decided)

    def complete(self, record, answer):
        """End a call with the application's answer."""
        record.phase = _Phase.RAN
        record.status = answer.status
        decided = self._end(record, outcomes.Ran(answer=answer))
        self._store.answers.keep(record, answer)
        return decided

    def end_not_run(self, record, reason, *, now_s, retry_after_s=0.0):
        """End a call that has not run and seal its key."""
        self._queued.pop(record, None)
        table = record.table
        table.seal(record, seal_ms=self._seal_ms(table, now_s))
        outcome = self._make_not_run(reason, retry_after_s=retry_after_s)
        return self._end(record, outcome)

    def end_may_have_run(self, record):
        """End a call that may have run."""
        record.phase = _Phase.LOST
        return self._end(record, responses.make_outcome(record))

    def end_transferred(self, record, copy, *, now_s):
        """End a call that was in progress elsewhere, with its result."""
        if copy.phase is _Phase.SEALED:
            return self.end_not_run(record, _NotRunReason.SEALED, now_s=now_s)
        if copy.phase is not _Phase.RAN:
            return self.end_may_have_run(record)
        if copy.answer is not None:
            return self.complete(record, copy.answer)
        record.phase = _Phase.RAN
        record.status = copy.status
        return self._end(record, responses.make_outcome(record))

    def _detach_in_progress(self, record, event):
        waiters = record.detach(attempt_id=event.attempt_id)
        outcome = responses.make_may_have_run(_MayHaveRunReason.IN_PROGRESS)
        return (
            responses.respond(event, outcome),
            *responses.respond_all(waiters, outcome),
        )

    def _offer_elsewhere(self, record, event, now_s):
        if record.table.source_process_lost:
            return responses.respond_may_have_run(
                event, _MayHaveRunReason.APPLICATION_LOST
            )
        return self.attach(record, event, now_s=now_s)

    def _offer_sealed(self, record, event, now_s):
        table = record.table
        response = self._respond_by_window(table, event, now_s)
        if response:
            return response
        reason = self._find_refusal_reason(table, event, record.seal_ms)
        if reason is not None:
            return self._seal(record, event, reason, now_s)
        return self._admit(record, event, now_s)

    def _offer_unknown(self, table, event, now_s):
        response = self._respond_by_window(table, event, now_s)
        if response:
            return response
        reason = self._find_refusal_reason(table, event, table.seal_floor_ms)
        if reason is not None:
            return self._add_seal(table, event, reason, now_s)
        if not self._store.make_room(now_s=now_s):
            return self._refuse_full(table, event, now_s)
        record = table.add(
            event.key, fingerprint=event.fingerprint, phase=_Phase.QUEUED
        )
        return self._admit(record, event, now_s)

    def _respond_by_window(self, table, event, now_s):
        window = event.key.window
        if window > table.current_window(now_s=now_s):
            return responses.reject(event, _RejectionReason.KEY_NOT_ISSUED)
        if window < table.record_floor:
            return responses.respond_may_have_run(
                event, _MayHaveRunReason.RECORD_DROPPED
            )
        if window < self._store.accept_floor(table, now_s=now_s):
            outcome = responses.make_window_closed(limits=self._limits)
            return (responses.respond(event, outcome),)
        return ()

    def _find_refusal_reason(self, table, event, seal_ms):
        stamp_ms = max(event.stamp_ms, table.window_start_ms(event.key))
        # An attempt in the millisecond of the seal is void: it may have
        # arrived before or after the seal.
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
        decided = self.end_not_run(record, _NotRunReason.DEADLINE, now_s=now_s)
        return (decisions.Abandon(key=record.table.make_key(record)), *decided)

    def _seal_ms(self, table, now_s):
        hold_ms = self._limits.seal_hold_ms + SEAL_MARGIN_MS
        return table.clock_ms(now_s=now_s) + hold_ms

    def _seal(self, record, event, reason, now_s):
        table = record.table
        table.seal(record, seal_ms=self._seal_ms(table, now_s))
        return (responses.respond(event, self._make_not_run(reason)),)

    def _add_seal(self, table, event, reason, now_s):
        if not self._store.make_room(now_s=now_s):
            return self._refuse_full(table, event, now_s)
        record = table.add(
            event.key, fingerprint=event.fingerprint, phase=_Phase.SEALED
        )
        return self._seal(record, event, reason, now_s)

    def _refuse_full(self, table, event, now_s):
        table.raise_seal_floor(seal_ms=self._seal_ms(table, now_s))
        outcome = self._make_not_run(_NotRunReason.LEDGER_FULL)
        return (responses.respond(event, outcome),)

    def _make_not_run(self, reason, *, retry_after_s=0.0):
        return responses.make_not_run(
            reason, retry_after_s=retry_after_s, limits=self._limits
        )

    def _end(self, record, outcome):
        decided = responses.respond_all(record.take_waiters(), outcome)
        answer = outcome.answer if isinstance(outcome, outcomes.Ran) else None
        return (*decided, *self._handover.make_transfer(record, answer=answer))
