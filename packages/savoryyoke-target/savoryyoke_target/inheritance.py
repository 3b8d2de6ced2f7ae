"""Take over the ledgers of target processes that leave."""

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
class _Import:
    """Hold the parts of one snapshot until the last one is there."""

    session: sessions.Session
    parts: list = dataclasses.field(default_factory=list)
    size_bytes: int = 0


class Inheritance:
    """Turn the messages of leaving processes into events of the ledger."""

    def __init__(self):
        self._imports_by_source = {}

    def receive(self, session, message):
        """Return the ledger's events that follow from ``message``."""
        match message:
            case messages.Handover():
                return self._take_part(session, message)
            case messages.HeirNamed():
                return (
                    ledger_events.HeirConfirmed(
                        source_incarnation=message.source_incarnation,
                        export_number=message.export_number,
                    ),
                )
            case messages.RecordTransfer():
                return self._take_record(session, message)
        return ()

    def end_session(self, session):
        """Return the events that follow from the end of a connection."""
        sources = [
            source
            for source, item in self._imports_by_source.items()
            if item.session is session
        ]
        for source in sources:
            del self._imports_by_source[source]
        return tuple(
            ledger_events.PredecessorLost(incarnation=incarnation)
            for incarnation in {incarnation for incarnation, _ in sources}
        )

    def answer(self, decision):
        """Tell the leaving process whether its snapshot is held."""
        source = (decision.source_incarnation, decision.export_number)
        item = self._imports_by_source.get(source)
        if item is None:
            return
        accepted = isinstance(decision, ledger_decisions.AcknowledgeImport)
        logs.write_event(
            'ledger_inherited',
            source=item.session.entry_id,
            incarnation=f'{decision.source_incarnation:016x}',
            accepted=accepted,
        )
        item.session.send(
            messages.HandoverAnswer(
                source_incarnation=decision.source_incarnation,
                export_number=decision.export_number,
                accepted=accepted,
            )
        )

    def _take_part(self, session, message):
        source = (message.source_incarnation, message.export_number)
        item = self._imports_by_source.setdefault(
            source, _Import(session=session)
        )
        item.size_bytes += len(message.data)
        if item.session is not session or message.part != len(item.parts):
            return ()
        if item.size_bytes > conf.SNAPSHOT_LIMIT_BYTES:
            return self._refuse(session, message, 'too large')
        item.parts.append(message.data)
        if len(item.parts) < message.parts:
            return ()
        data = b''.join(item.parts)
        item.parts = []
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

    def _take_record(self, session, message):
        try:
            record = snapshots.load_record(message.data)
        except exceptions.SnapshotInvalid as error:
            logs.write_event(
                'record_refused', level='error', reason=str(error)[:200]
            )
            return ()
        return (ledger_events.RecordTransferred(record=record),)
