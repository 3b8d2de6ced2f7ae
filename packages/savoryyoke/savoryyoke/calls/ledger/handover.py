"""Hand the authority of a leaving process to its heir."""

import enum

from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import snapshots


class HandoverPhase(enum.Enum):
    """Say who has the authority over keys that are not in progress here.

    ``OPEN``: this process. ``EXPORTING``: still this process, but it decides
    on no new key and sends no newer stamp. ``DONE``: the heir, permanently.
    """

    OPEN = 'open'
    EXPORTING = 'exporting'
    DONE = 'done'


class Handover:
    """Hold the state of the handover at a planned stop.

    The heir sends no stamps and gets no attempts until this process names it
    to the entries. An export whose acknowledgement is lost can therefore be
    cancelled and repeated with another heir. Messages that arrive during an
    export are parked: they wait for its end, at most ``parked_limit`` of them.
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

    def start_export(self, *, heir, tables, now_s):
        """Start an export; return the decision to send it to ``heir``."""
        self.phase = HandoverPhase.EXPORTING
        self.heir = heir
        self._export_number += 1
        self.stamps_by_incarnation = {
            table.incarnation: table.clock_ms(now_s=now_s) for table in tables
        }
        self._confirmed_stamps = {
            table.incarnation: self.stamps_by_incarnation[table.incarnation]
            for table in tables
            if table.confirmed
        }
        self._exported_in_progress = dict.fromkeys(
            record
            for table in tables
            for record in table.records()
            if record.phase in records.IN_PROGRESS
        )
        snapshot = snapshots.Snapshot(
            heir=heir,
            source_incarnation=self._source_incarnation,
            export_number=self._export_number,
            books=tuple(
                table.copy(
                    stamp_ms=self.stamps_by_incarnation[table.incarnation]
                )
                for table in tables
            ),
        )
        return decisions.ExportSnapshot(heir=heir, snapshot=snapshot)

    def awaits_acknowledgement(self, *, export_number):
        """Return whether the export ``export_number`` is in progress."""
        return (
            self.phase is HandoverPhase.EXPORTING
            and self._export_number == export_number
        )

    def move_authority(self):
        """Move the authority; return the decisions that follow."""
        self.phase = HandoverPhase.DONE
        name_heir = decisions.NameHeir(
            heir=self.heir,
            source_incarnation=self._source_incarnation,
            export_number=self._export_number,
            stamps_by_incarnation=dict(self._confirmed_stamps),
        )
        transfers = self.make_transfers()
        redirects = tuple(self.make_redirect(event) for event in self._parked)
        self._parked = []
        return (name_heir, *transfers, *redirects)

    def cancel_export(self):
        """Return to ``OPEN``; return the events parked during the export."""
        self.phase = HandoverPhase.OPEN
        self.heir = None
        self._exported_in_progress = {}
        parked = self._parked
        self._parked = []
        return parked

    def park(self, event):
        """Park ``event``; return False if ``parked_limit`` is reached."""
        if len(self._parked) >= self._parked_limit:
            return False
        self._parked.append(event)
        return True

    def make_redirect(self, event):
        """Return the decision that redirects ``event`` to the heir."""
        return decisions.Redirect(
            attempt_id=event.attempt_id,
            number=event.number,
            heir=self.heir,
            stamp_ms=self.stamps_by_incarnation[event.key.incarnation],
        )

    def make_transfers(self):
        """Return the transfers of the exported calls that have ended."""
        transfers = []
        for record in self._exported_in_progress:
            transfers.extend(self.make_transfer(record, answer=record.answer))
        return tuple(transfers)

    def make_transfer(self, record, *, answer):
        """Return the transfer of ``record``, or nothing.

        A record is transferred if it was exported in progress, the authority
        has moved and the call has ended.
        """
        if not self.is_done or record not in self._exported_in_progress:
            return ()
        if record.phase in records.IN_PROGRESS:
            return ()
        copy = snapshots.copy_record(record, answer=answer)
        return (decisions.TransferRecord(heir=self.heir, record=copy),)
