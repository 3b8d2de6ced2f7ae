"""Provide the state machine of a ledger."""

import functools

from savoryyoke.calls import exceptions
from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import events
from savoryyoke.calls.ledger import handover
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import responses
from savoryyoke.calls.ledger import rules
from savoryyoke.calls.ledger import store as record_store
from savoryyoke.calls.ledger import tables
from savoryyoke.calls import outcomes

_Phase = records.Phase
_MayHaveRunReason = outcomes.MayHaveRunReason
_NotRunReason = outcomes.NotRunReason


class Ledger:
    """Decide, as the only authority, on the keys bound to one process.

    ``apply`` takes an event and the monotonic time and returns a tuple of
    decisions. Each message of an attempt is answered once, now or later.
    ``incarnation`` is a random 64-bit number, new for each start of the
    process. ``started_s`` is the monotonic time of the start.
    """

    def __init__(self, *, target_id, incarnation, started_s, limits):
        self.target_id = target_id
        self.incarnation = incarnation
        self._store = record_store.RecordStore(limits=limits)
        self._handover = handover.Handover(
            source_incarnation=incarnation, parked_limit=limits.parked_limit
        )
        self._rules = rules.Rules(
            store=self._store, handover=self._handover, limits=limits
        )
        self._store.tables_by_incarnation[incarnation] = tables.RecordTable(
            target_id=target_id,
            incarnation=incarnation,
            window_ms=limits.window_ms,
            clock_ms=0,
            now_s=started_s,
            export_id=None,
        )

    @property
    def record_count(self):
        """Return the number of records in all tables."""
        return self._store.record_count

    @property
    def answers_bytes(self):
        """Return the total size of the answers kept, in bytes."""
        return self._store.answers.total_bytes

    @property
    def in_progress_count(self):
        """Return the number of calls that have not ended.

        A process that is leaving stops only when this is 0.
        """
        return sum(
            record.phase in records.IN_PROGRESS
            for table in self._store.tables
            for record in table.records()
        )

    def stamps(self, *, now_s):
        """Return the stamps to send to the entries.

        The stamps don't advance during an export, and there are none after
        the authority has moved to the heir.
        """
        if self._handover.is_done:
            return ()
        frozen_by_incarnation = {}
        if not self._handover.is_open:
            frozen_by_incarnation = self._handover.stamps_by_incarnation
        return tuple(
            responses.Stamp(
                target_id=self.target_id,
                incarnation=table.incarnation,
                stamp_ms=frozen_by_incarnation.get(
                    table.incarnation, table.clock_ms(now_s=now_s)
                ),
                window_ms=table.window_ms,
            )
            for table in self._store.tables
            if table.confirmed
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Return a tuple of decisions for ``event`` at ``now_s``.

        Raises ``UnknownEvent`` for an event of another type and
        ``UnexpectedEvent`` if the call is not in the phase that the event
        requires.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Offered, *, now_s):
        table = self._store.find_table(event.key)
        response = self._find_early_response(table, event)
        if response is not None:
            return response
        record = table.find_record(event.key)
        if record is not None and record.is_local:
            return self._rules.attach(record, event, now_s=now_s)
        if not self._handover.is_open:
            return self._redirect_or_park(event)
        table.confirmed = True
        return self._rules.offer(table, event, now_s=now_s)

    @apply.register
    def _(self, event: events.SealRequested, *, now_s):
        table = self._store.find_table(event.key)
        response = self._find_early_response(table, event)
        if response is not None:
            return response
        record = table.find_record(event.key)
        if record is not None and record.is_local:
            return self._rules.withdraw(record, event, now_s=now_s)
        if not self._handover.is_open:
            return self._redirect_or_park(event)
        table.confirmed = True
        return self._rules.seal(table, event, now_s=now_s)

    @apply.register
    def _(self, event: events.HandOverRequested, *, now_s):
        record = self._store.find_record(event.key)
        if record is None or record.phase is not _Phase.QUEUED:
            return (decisions.Abandon(key=event.key),)
        return self._rules.hand_over(record, now_s=now_s)

    @apply.register
    def _(self, event: events.Refused, *, now_s):
        return self._rules.end_not_run(
            self._find_record_in_phase(event, _Phase.QUEUED),
            _NotRunReason.REFUSED,
            now_s=now_s,
            retry_after_s=event.retry_after_s,
        )

    @apply.register
    def _(self, event: events.HandOverFailed, *, now_s):
        return self._rules.end_not_run(
            self._find_record_in_phase(event, _Phase.HANDED_OVER),
            _NotRunReason.HAND_OVER_FAILED,
            now_s=now_s,
        )

    @apply.register
    def _(self, event: events.HandOverLost, *, now_s):
        return self._rules.end_may_have_run(
            self._find_record_in_phase(event, _Phase.HANDED_OVER)
        )

    @apply.register
    def _(self, event: events.Completed, *, now_s):
        record = self._find_record_in_phase(event, _Phase.HANDED_OVER)
        return self._rules.complete(record, event.answer)

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        if self._handover.is_open:
            self._store.drop_expired(now_s=now_s)
        return self._rules.expire_queued(now_s=now_s)

    @apply.register
    def _(self, event: events.DrainStarted, *, now_s):
        if not self._handover.is_open:
            return ()
        # Unconfirmed tables are exported too: their authority may still be
        # on its way to this process.
        export = self._handover.start_export(
            heir=event.heir, tables=self._store.tables, now_s=now_s
        )
        return (export,)

    @apply.register
    def _(self, event: events.ImportAcknowledged, *, now_s):
        if not self._handover.awaits_acknowledgement(
            export_number=event.export_number
        ):
            return ()
        return self._handover.move_authority()

    @apply.register
    def _(self, event: events.HeirLost, *, now_s):
        if not self._handover.awaits_acknowledgement(
            export_number=event.export_number
        ):
            return ()
        decided = []
        for parked in self._handover.cancel_export():
            decided.extend(self.apply(parked, now_s=now_s))
        return tuple(decided)

    @apply.register
    def _(self, event: events.HeirReconnected, *, now_s):
        return self._handover.make_transfers()

    @apply.register
    def _(self, event: events.SnapshotReceived, *, now_s):
        snapshot = event.snapshot
        reply_type = decisions.RefuseImport
        if self._is_intended_heir(snapshot):
            if self._store.import_snapshot(snapshot, now_s=now_s):
                reply_type = decisions.AcknowledgeImport
        reply = reply_type(
            source_incarnation=snapshot.source_incarnation,
            export_number=snapshot.export_number,
        )
        return (reply,)

    @apply.register
    def _(self, event: events.HeirConfirmed, *, now_s):
        export_id = (event.source_incarnation, event.export_number)
        for table in self._store.tables:
            if table.export_id == export_id and table.was_confirmed_at_source:
                table.confirmed = True
        return ()

    @apply.register
    def _(self, event: events.RecordTransferred, *, now_s):
        record = self._store.find_record(event.record.key)
        if record is None or record.phase is not _Phase.ELSEWHERE:
            return ()
        return self._rules.end_transferred(record, event.record, now_s=now_s)

    @apply.register
    def _(self, event: events.PredecessorLost, *, now_s):
        outcome = responses.make_may_have_run(
            _MayHaveRunReason.APPLICATION_LOST
        )
        decided = []
        for table in self._store.tables:
            if (
                table.export_id is None
                or table.export_id[0] != event.incarnation
            ):
                continue
            table.source_process_lost = True
            for record in table.records():
                if record.phase is _Phase.ELSEWHERE:
                    waiters = record.take_waiters()
                    decided.extend(responses.respond_all(waiters, outcome))
        return tuple(decided)

    def _find_early_response(self, table, event):
        if table is None:
            return responses.respond_may_have_run(
                event, _MayHaveRunReason.INCARNATION_GONE
            )
        record = table.find_record(event.key)
        if record is not None and responses.is_different_request(
            record, event
        ):
            return responses.reject(event, outcomes.RejectionReason.KEY_REUSED)
        return None

    def _is_intended_heir(self, snapshot):
        return (
            self._handover.is_open
            and snapshot.heir.incarnation == self.incarnation
        )

    def _redirect_or_park(self, event):
        if self._handover.is_done:
            return (self._handover.make_redirect(event),)
        if self._handover.park(event):
            return ()
        return responses.respond_may_have_run(
            event, _MayHaveRunReason.HAND_OVER_PENDING
        )

    def _find_record_in_phase(self, event, phase):
        record = self._store.find_record(event.key)
        if record is None or record.phase is not phase:
            current_phase = None if record is None else record.phase
            raise exceptions.UnexpectedEvent(event=event, phase=current_phase)
        return record
