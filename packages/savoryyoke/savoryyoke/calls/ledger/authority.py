"""Decide each call bound to this process, alone and once."""

import functools

from savoryyoke.calls import exceptions
from savoryyoke.calls.ledger import books
from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import events
from savoryyoke.calls.ledger import handover
from savoryyoke.calls.ledger import library
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import responses
from savoryyoke.calls.ledger import rules
from savoryyoke.calls import outcomes

_Phase = records.Phase
_MayHaveRunReason = outcomes.MayHaveRunReason
_NotRunReason = outcomes.NotRunReason


class Ledger:
    """Hold the sole authority over the keys bound to one process.

    ``apply`` takes an event and the monotonic time and returns a tuple of
    decisions. Each message of an attempt is answered once, now or later.
    ``incarnation`` is a random 64-bit number made when the
    process starts, at ``started_s``.
    """

    def __init__(self, *, target_id, incarnation, started_s, limits):
        self.target_id = target_id
        self.incarnation = incarnation
        self._library = library.Library(limits=limits)
        self._handover = handover.Handover(
            source_incarnation=incarnation, parked_limit=limits.parked_limit
        )
        self._rules = rules.Rules(
            library=self._library, handover=self._handover, limits=limits
        )
        self._library.books_by_incarnation[incarnation] = books.Book(
            target_id=target_id,
            incarnation=incarnation,
            window_ms=limits.window_ms,
            clock_ms=0,
            now_s=started_s,
            source=None,
        )

    @property
    def record_count(self):
        """Return the number of records held."""
        return self._library.record_count

    @property
    def answers_bytes(self):
        """Return the bytes of the answers kept."""
        return self._library.answers.total_bytes

    @property
    def in_progress_count(self):
        """Return the number of calls that have not ended.

        A process that leaves waits until none is left.
        """
        return sum(
            record.phase in records.IN_PROGRESS
            for book in self._library.books
            for record in book.records()
        )

    def stamps(self, *, now_s):
        """Return the stamps to put on each message to an entry."""
        if self._handover.is_done:
            return ()
        frozen_by_incarnation = {}
        if not self._handover.is_open:
            frozen_by_incarnation = self._handover.stamps_by_incarnation
        return tuple(
            responses.Stamp(
                target_id=self.target_id,
                incarnation=book.incarnation,
                stamp_ms=frozen_by_incarnation.get(
                    book.incarnation, book.clock_ms(now_s=now_s)
                ),
                window_ms=book.window_ms,
            )
            for book in self._library.books
            if book.confirmed
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Return the decisions that follow from ``event``."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Offered, *, now_s):
        book = self._library.find(event.key)
        settled = self._settle_early(book, event)
        if settled is not None:
            return settled
        record = book.find(event.key)
        if record is not None and record.is_local:
            return self._rules.attach(record, event, now_s=now_s)
        if not self._handover.is_open:
            return self._pass_on(event)
        book.confirmed = True
        return self._rules.offer(book, event, now_s=now_s)

    @apply.register
    def _(self, event: events.SealRequested, *, now_s):
        book = self._library.find(event.key)
        settled = self._settle_early(book, event)
        if settled is not None:
            return settled
        record = book.find(event.key)
        if record is not None and record.is_local:
            return self._rules.withdraw(record, event, now_s=now_s)
        if not self._handover.is_open:
            return self._pass_on(event)
        book.confirmed = True
        return self._rules.seal(book, event, now_s=now_s)

    @apply.register
    def _(self, event: events.HandOverRequested, *, now_s):
        record = self._library.find_record(event.key)
        if record is None or record.phase is not _Phase.QUEUED:
            return (decisions.Abandon(key=event.key),)
        return self._rules.hand_over(record, now_s=now_s)

    @apply.register
    def _(self, event: events.Refused, *, now_s):
        return self._rules.end_unrun(
            self._expect(event, _Phase.QUEUED),
            _NotRunReason.REFUSED,
            now_s=now_s,
            retry_after_s=event.retry_after_s,
        )

    @apply.register
    def _(self, event: events.HandOverFailed, *, now_s):
        return self._rules.end_unrun(
            self._expect(event, _Phase.HANDED_OVER),
            _NotRunReason.HAND_OVER_FAILED,
            now_s=now_s,
        )

    @apply.register
    def _(self, event: events.HandOverLost, *, now_s):
        return self._rules.end_lost(self._expect(event, _Phase.HANDED_OVER))

    @apply.register
    def _(self, event: events.Completed, *, now_s):
        record = self._expect(event, _Phase.HANDED_OVER)
        return self._rules.complete(record, event.answer)

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        if self._handover.is_open:
            self._library.drop_old(now_s=now_s)
        return self._rules.expire_queued(now_s=now_s)

    @apply.register
    def _(self, event: events.DrainStarted, *, now_s):
        if not self._handover.is_open:
            return ()
        # Books whose authority may yet come are passed on as well, inert.
        export = self._handover.start(
            heir=event.heir, books=self._library.books, now_s=now_s
        )
        return (export,)

    @apply.register
    def _(self, event: events.ImportAcknowledged, *, now_s):
        if not self._handover.is_awaiting(export_number=event.export_number):
            return ()
        return self._handover.finish()

    @apply.register
    def _(self, event: events.HeirLost, *, now_s):
        if not self._handover.is_awaiting(export_number=event.export_number):
            return ()
        made = []
        for parked in self._handover.give_up():
            made.extend(self.apply(parked, now_s=now_s))
        return tuple(made)

    @apply.register
    def _(self, event: events.HeirReconnected, *, now_s):
        return self._handover.transfer_all()

    @apply.register
    def _(self, event: events.Inherited, *, now_s):
        snapshot = event.snapshot
        kind = decisions.RefuseImport
        if self._is_heir(snapshot):
            if self._library.include(snapshot, now_s=now_s):
                kind = decisions.AcknowledgeImport
        reply = kind(
            source_incarnation=snapshot.source_incarnation,
            export_number=snapshot.export_number,
        )
        return (reply,)

    @apply.register
    def _(self, event: events.HeirConfirmed, *, now_s):
        source = (event.source_incarnation, event.export_number)
        for book in self._library.books:
            if book.source == source and book.confirmable:
                book.confirmed = True
        return ()

    @apply.register
    def _(self, event: events.RecordTransferred, *, now_s):
        record = self._library.find_record(event.record.key)
        if record is None or record.phase is not _Phase.ELSEWHERE:
            return ()
        return self._rules.take_over(record, event.record, now_s=now_s)

    @apply.register
    def _(self, event: events.PredecessorLost, *, now_s):
        outcome = responses.lost(_MayHaveRunReason.APPLICATION_LOST)
        made = []
        for book in self._library.books:
            if book.source is None or book.source[0] != event.incarnation:
                continue
            book.source_lost = True
            for record in book.records():
                if record.phase is _Phase.ELSEWHERE:
                    waiters = record.take_waiters()
                    made.extend(responses.respond_all(waiters, outcome))
        return tuple(made)

    def _settle_early(self, book, event):
        if book is None:
            return responses.doubt(event, _MayHaveRunReason.INCARNATION_GONE)
        record = book.find(event.key)
        if record is not None and responses.is_mismatch(record, event):
            return responses.reject(event, outcomes.RejectionReason.KEY_REUSED)
        return None

    def _is_heir(self, snapshot):
        return (
            self._handover.is_open
            and snapshot.heir.incarnation == self.incarnation
        )

    def _pass_on(self, event):
        if self._handover.is_done:
            return (self._handover.redirect(event),)
        if self._handover.park(event):
            return ()
        return responses.doubt(event, _MayHaveRunReason.HAND_OVER_PENDING)

    def _expect(self, event, phase):
        record = self._library.find_record(event.key)
        if record is None or record.phase is not phase:
            found = None if record is None else record.phase
            raise exceptions.UnexpectedEvent(event=event, phase=found)
        return record
