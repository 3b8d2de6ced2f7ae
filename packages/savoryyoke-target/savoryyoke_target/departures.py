"""Hand the ledger of this process to an heir before a planned stop."""

import functools

import anyio
import xxhash

from savoryyoke.calls.ledger import decisions as ledger_decisions
from savoryyoke.calls.ledger import events as ledger_events
from savoryyoke.calls.ledger import snapshots as ledger_snapshots
from savoryyoke_edge import connections
from savoryyoke_edge import exceptions as edge_exceptions
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_target import conf
from savoryyoke_target import exceptions
from savoryyoke_target import snapshots
from savoryyoke_wire import messages


class Departure:
    """Own the connection to the heir while this process leaves.

    ``feed`` passes events to the ledger; ``broadcast`` sends a message to
    all entries.
    """

    def __init__(self, *, target_id, hello, tasks, feed, broadcast):
        self._target_id = target_id
        self._hello = hello
        self._tasks = tasks
        self._feed = feed
        self._broadcast = broadcast
        self._connection = None
        self._address = ''
        self._answered = None
        self._accepted = False
        self._export_number = 0

    async def run(self, candidates):
        """Try one heir after another; return whether one took over.

        ``candidates`` are the live targets of the same service.
        """
        for row in self._rank(candidates):
            if await self._try_heir(row):
                return True
        logs.write_event('no_heir', level='warning', target=self._target_id)
        return False

    def _rank(self, candidates):
        """Spread the heirs of several leaving processes over the fleet."""
        return sorted(
            candidates,
            key=lambda row: xxhash.xxh3_64_intdigest(
                f'{self._target_id}/{row.vm_id}'.encode()
            ),
        )

    async def _try_heir(self, row):
        try:
            connection, early = await self._connect(row.address)
        except (edge_exceptions.ConnectionLost, ValueError) as error:
            logs.write_event(
                'heir_unreachable', heir=row.vm_id, reason=str(error)
            )
            return False
        self._address = row.address
        self._answered = anyio.Event()
        self._accepted = False
        self._connection = connection
        self._tasks.start_soon(self._serve, connection, early)
        heir = ledger_snapshots.Heir(
            target_id=connection.peer.process_id,
            incarnation=connection.peer.incarnation,
        )
        self._feed(ledger_events.DrainStarted(heir=heir))
        with anyio.move_on_after(conf.HEIR_ANSWER_TIMEOUT_S):
            await self._answered.wait()
        if not self._accepted:
            connection.close()
            self._feed(
                ledger_events.HeirLost(export_number=self._export_number)
            )
        return self._accepted

    async def _connect(self, address):
        return await connections.connect(
            address=addresses.parse_peer_address(address),
            hello=self._hello,
            timeout_s=conf.HEIR_CONNECT_TIMEOUT_S,
        )

    async def _serve(self, connection, early):
        """Serve the heir's connection; make it anew while it is needed."""
        await connection.run(self._receive, early)
        self._answered.set()
        while self._accepted:
            await anyio.sleep(conf.HEIR_RETRY_S)
            try:
                connection, early = await self._connect(self._address)
            except edge_exceptions.ConnectionLost:
                continue
            self._connection = connection
            self._feed(ledger_events.HeirReconnected())
            await connection.run(self._receive, early)

    def _receive(self, message):
        if not isinstance(message, messages.HandoverAnswer):
            return
        if message.export_number != self._export_number:
            return
        if message.accepted:
            self._accepted = True
            self._feed(
                ledger_events.ImportAcknowledged(
                    export_number=message.export_number
                )
            )
        self._answered.set()

    @functools.singledispatchmethod
    def carry_out(self, decision):
        """Carry out a decision of the ledger about the planned stop."""
        raise exceptions.TargetError(f'unknown decision {decision}')

    @carry_out.register
    def _(self, decision: ledger_decisions.ExportSnapshot):
        self._export_number = decision.snapshot.export_number
        data = snapshots.dump_snapshot(decision.snapshot)
        starts = range(0, max(1, len(data)), conf.SNAPSHOT_PART_BYTES)
        for part, start in enumerate(starts):
            self._send(
                messages.Handover(
                    source_incarnation=decision.snapshot.source_incarnation,
                    export_number=self._export_number,
                    part=part,
                    parts=len(starts),
                    data=data[start : start + conf.SNAPSHOT_PART_BYTES],
                )
            )

    @carry_out.register
    def _(self, decision: ledger_decisions.NameHeir):
        logs.write_event(
            'heir_named',
            target=self._target_id,
            heir=decision.heir.target_id,
            incarnations=len(decision.stamps_by_incarnation),
        )
        named = messages.HeirNamed(
            source_incarnation=decision.source_incarnation,
            export_number=decision.export_number,
            heir_target_id=decision.heir.target_id,
            heir_incarnation=decision.heir.incarnation,
            stamps=tuple(
                messages.Stamp(
                    target_id=decision.heir.target_id,
                    incarnation=incarnation,
                    stamp_ms=stamp_ms,
                    window_ms=0,
                )
                for incarnation, stamp_ms in (
                    decision.stamps_by_incarnation.items()
                )
            ),
        )
        self._send(named)
        self._broadcast(named)

    @carry_out.register
    def _(self, decision: ledger_decisions.TransferRecord):
        data = snapshots.dump_record(decision.record)
        self._send(messages.RecordTransfer(data=data))

    def _send(self, message):
        try:
            self._connection.send(message)
        except edge_exceptions.ConnectionLost:
            self._answered.set()
