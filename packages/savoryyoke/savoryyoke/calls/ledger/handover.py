"""Hand the authority of a leaving process to its heir."""

import enum

from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import snapshots


class HandoverPhase(enum.Enum):
    """Say who has the authority over keys that are not in progress here.

    ``OPEN``: this process. ``EXPORTING``: still this process, but it decides
    nothing new and gives out no newer stamp. ``DONE``: the heir, for ever.
    """

    OPEN = 'open'
    EXPORTING = 'exporting'
    DONE = 'done'


class Handover:
    """Hold the state of a planned stop.

    The heir is inert until this process names it, so that an export whose
    acknowledgement is lost may be given up and repeated with another heir.
    """

    def __init__(self, *, source_incarnation, parked_limit):
        self.phase = HandoverPhase.OPEN
        self.heir = None
        self.stamps_by_incarnation = {}
        self._source_incarnation = source_incarnation
        self._export_number = 0
        self._confirmed_stamps = {}
        self._parked_limit = parked_limit
        self._parked = []
        self._exported_in_progress = {}

    @property
    def is_open(self):
        """Return whether this process decides on new keys."""
        return self.phase is HandoverPhase.OPEN

    @property
    def is_done(self):
        """Return whether the authority has moved."""
        return self.phase is HandoverPhase.DONE

    def start(self, *, heir, books, now_s):
        """Return the decision to export ``books`` to ``heir``."""
        self.phase = HandoverPhase.EXPORTING
        self.heir = heir
        self._export_number += 1
        self.stamps_by_incarnation = {
            book.incarnation: book.clock_ms(now_s=now_s) for book in books
        }
        self._confirmed_stamps = {
            book.incarnation: self.stamps_by_incarnation[book.incarnation]
            for book in books
            if book.confirmed
        }
        self._exported_in_progress = dict.fromkeys(
            record
            for book in books
            for record in book.records()
            if record.phase in records.IN_PROGRESS
        )
        snapshot = snapshots.Snapshot(
            heir=heir,
            source_incarnation=self._source_incarnation,
            export_number=self._export_number,
            books=tuple(
                book.copy(
                    stamp_ms=self.stamps_by_incarnation[book.incarnation]
                )
                for book in books
            ),
        )
        return decisions.ExportSnapshot(heir=heir, snapshot=snapshot)

    def is_awaiting(self, *, export_number):
        """Return whether the export ``export_number`` is the present one."""
        return (
            self.phase is HandoverPhase.EXPORTING
            and self._export_number == export_number
        )

    def finish(self):
        """Move the authority; return what the heir and entries must know."""
        self.phase = HandoverPhase.DONE
        name = decisions.NameHeir(
            heir=self.heir,
            source_incarnation=self._source_incarnation,
            export_number=self._export_number,
            stamps_by_incarnation=dict(self._confirmed_stamps),
        )
        transfers = self.transfer_all()
        redirects = tuple(self.redirect(event) for event in self._parked)
        self._parked = []
        return (name, *transfers, *redirects)

    def give_up(self):
        """Open again; return the events that were parked meanwhile."""
        self.phase = HandoverPhase.OPEN
        self.heir = None
        self._exported_in_progress = {}
        parked = self._parked
        self._parked = []
        return parked

    def park(self, event):
        """Keep ``event`` until the export ends; return False if full."""
        if len(self._parked) >= self._parked_limit:
            return False
        self._parked.append(event)
        return True

    def redirect(self, event):
        """Return the decision that sends ``event`` to the heir."""
        return decisions.Redirect(
            attempt_id=event.attempt_id,
            number=event.number,
            heir=self.heir,
            stamp_ms=self.stamps_by_incarnation[event.key.incarnation],
        )

    def transfer_all(self):
        """Return the transfers of all exported records that have ended."""
        transfers = []
        for record in self._exported_in_progress:
            transfers.extend(self.transfer(record, answer=record.answer))
        return tuple(transfers)

    def transfer(self, record, *, answer):
        """Return the transfer of an exported record that has ended."""
        if not self.is_done or record not in self._exported_in_progress:
            return ()
        if record.phase in records.IN_PROGRESS:
            return ()
        copy = snapshots.copy_record(record, answer=answer)
        return (decisions.TransferRecord(heir=self.heir, record=copy),)
