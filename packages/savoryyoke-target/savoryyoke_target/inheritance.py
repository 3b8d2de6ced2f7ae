"""Receive the ledgers of target processes that are stopping."""

import dataclasses

from savoryyoke.calls.ledger import decisions as ledger_decisions
from savoryyoke.calls.ledger import events as ledger_events
from savoryyoke_edge import logs
from savoryyoke_target import conf
from savoryyoke_target import exceptions
from savoryyoke_target import sessions
from savoryyoke_target import snapshots
from savoryyoke_wire import messages


@dataclasses.dataclass(kw_only=True)
class _SnapshotImport:
    """Collect the parts of one snapshot until the last one arrives."""

    session: sessions.Session
    parts: list = dataclasses.field(default_factory=list)
    size_bytes: int = 0


class Inheritance:
    """Convert messages of stopping processes to events of the ledger."""

    def __init__(self):
        # Keys are pairs of source incarnation and export number.
        self._imports_by_source = {}

    def receive(self, session, message):
        """Return the events of the ledger that ``message`` causes."""
        match message:
            case messages.Handover():
                return self._receive_part(session, message)
            case messages.HeirNamed():
                return (
                    ledger_events.HeirConfirmed(
                        source_incarnation=message.source_incarnation,
                        export_number=message.export_number,
                    ),
                )
            case messages.RecordTransfer():
                return self._receive_record(session, message)
        return ()

    def end_session(self, session):
        """Return the events that the end of a connection causes."""
        sources = [
            source
            for source, snapshot_import in self._imports_by_source.items()
            if snapshot_import.session is session
        ]
        for source in sources:
            del self._imports_by_source[source]
        return tuple(
            ledger_events.PredecessorLost(incarnation=incarnation)
            for incarnation in {incarnation for incarnation, _ in sources}
        )

    def send_answer(self, decision):
        """Report to the stopping process whether its snapshot was imported."""
        source = (decision.source_incarnation, decision.export_number)
        snapshot_import = self._imports_by_source.get(source)
        if snapshot_import is None:
            return
        accepted = isinstance(decision, ledger_decisions.AcknowledgeImport)
        logs.write_event(
            'ledger_inherited',
            source=snapshot_import.session.entry_id,
            incarnation=f'{decision.source_incarnation:016x}',
            accepted=accepted,
        )
        snapshot_import.session.send(
            messages.HandoverAnswer(
                source_incarnation=decision.source_incarnation,
                export_number=decision.export_number,
                accepted=accepted,
            )
        )

    def _receive_part(self, session, message):
        source = (message.source_incarnation, message.export_number)
        snapshot_import = self._imports_by_source.setdefault(
            source, _SnapshotImport(session=session)
        )
        snapshot_import.size_bytes += len(message.data)
        if snapshot_import.session is not session or message.part != len(
            snapshot_import.parts
        ):
            return ()
        if snapshot_import.size_bytes > conf.SNAPSHOT_LIMIT_BYTES:
            return self._refuse(session, message, 'too large')
        snapshot_import.parts.append(message.data)
        if len(snapshot_import.parts) < message.parts:
            return ()
        data = b''.join(snapshot_import.parts)
        snapshot_import.parts = []
        try:
            snapshot = snapshots.load_snapshot(data)
        except exceptions.SnapshotInvalid as error:
            return self._refuse(session, message, str(error))
        return (ledger_events.SnapshotReceived(snapshot=snapshot),)

    def _refuse(self, session, message, reason):
        logs.write_event(
            'snapshot_refused', level='error', reason=reason[:200]
        )
        session.send(
            messages.HandoverAnswer(
                source_incarnation=message.source_incarnation,
                export_number=message.export_number,
                accepted=False,
            )
        )
        return ()

    def _receive_record(self, session, message):
        try:
            record = snapshots.load_record(message.data)
        except exceptions.SnapshotInvalid as error:
            logs.write_event(
                'record_refused', level='error', reason=str(error)[:200]
            )
            return ()
        return (ledger_events.RecordTransferred(record=record),)
