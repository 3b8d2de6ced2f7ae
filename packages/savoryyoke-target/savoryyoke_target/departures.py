"""Transfer the ledger of this process to an heir before a planned stop."""

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
    """Transfer the ledger over a connection to the heir during a drain.

    The heir is the target process that takes over the ledger.
    ``feed(event)`` passes an event to the ledger; ``broadcast(message)``
    sends a message to all entries.
    """

    def __init__(self, *, target_id, hello, tasks, feed, broadcast):
        self._target_id = target_id
        self._hello = hello
        self._tasks = tasks
        self._feed = feed
        self._broadcast = broadcast
        self._connection = None
        self._address = ''
        self._answer_received = None
        self._accepted_by_heir = False
        self._export_number = 0

    async def run(self, candidates):
        """Try the candidates in order; return whether one accepted the ledger.

        ``candidates`` are the VMs of live targets of the same service.
        """
        for vm in self._rank(candidates):
            if await self._try_heir(vm):
                return True
        logs.write_event('no_heir', level='warning', target=self._target_id)
        return False

    def _rank(self, candidates):
        """Sort by a hash so that stopping processes choose different heirs."""
        return sorted(
            candidates,
            key=lambda vm: xxhash.xxh3_64_intdigest(
                f'{self._target_id}/{vm.vm_id}'.encode()
            ),
        )

    async def _try_heir(self, vm):
        try:
            connection, early_messages = await self._connect(vm.address)
        except (edge_exceptions.ConnectionLost, ValueError) as error:
            logs.write_event(
                'heir_unreachable', heir=vm.vm_id, reason=str(error)
            )
            return False
        self._address = vm.address
        self._answer_received = anyio.Event()
        self._accepted_by_heir = False
        self._connection = connection
        self._tasks.start_soon(self._serve, connection, early_messages)
        heir = ledger_snapshots.Heir(
            target_id=connection.peer.process_id,
            incarnation=connection.peer.incarnation,
        )
        self._feed(ledger_events.DrainStarted(heir=heir))
        with anyio.move_on_after(conf.HEIR_ANSWER_TIMEOUT_S):
            await self._answer_received.wait()
        if not self._accepted_by_heir:
            connection.close()
            self._feed(
                ledger_events.HeirLost(export_number=self._export_number)
            )
        return self._accepted_by_heir

    async def _connect(self, address):
        return await connections.connect(
            address=addresses.parse_peer_address(address),
            hello=self._hello,
            timeout_s=conf.HEIR_CONNECT_TIMEOUT_S,
        )

    async def _serve(self, connection, early_messages):
        """Read the heir's messages; reconnect once it has the ledger."""
        await connection.run(self._receive, early_messages)
        self._answer_received.set()
        while self._accepted_by_heir:
            await anyio.sleep(conf.HEIR_RETRY_S)
            try:
                connection, early_messages = await self._connect(self._address)
            except edge_exceptions.ConnectionLost:
                continue
            self._connection = connection
            self._feed(ledger_events.HeirReconnected())
            await connection.run(self._receive, early_messages)

    def _receive(self, message):
        if not isinstance(message, messages.HandoverAnswer):
            return
        if message.export_number != self._export_number:
            return
        if message.accepted:
            self._accepted_by_heir = True
            self._feed(
                ledger_events.ImportAcknowledged(
                    export_number=message.export_number
                )
            )
        self._answer_received.set()

    @functools.singledispatchmethod
    def carry_out(self, decision):
        """Send the messages that a decision of the ledger calls for."""
        raise exceptions.TargetError(f'unknown decision {decision}')

    @carry_out.register
    def _(self, decision: ledger_decisions.ExportSnapshot):
        self._export_number = decision.snapshot.export_number
        data = snapshots.dump_snapshot(decision.snapshot)
        offsets = range(0, max(1, len(data)), conf.SNAPSHOT_PART_BYTES)
        for part, offset in enumerate(offsets):
            self._send(
                messages.Handover(
                    source_incarnation=decision.snapshot.source_incarnation,
                    export_number=self._export_number,
                    part=part,
                    parts=len(offsets),
                    data=data[offset : offset + conf.SNAPSHOT_PART_BYTES],
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
        heir_named = messages.HeirNamed(
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
        self._send(heir_named)
        self._broadcast(heir_named)

    @carry_out.register
    def _(self, decision: ledger_decisions.TransferRecord):
        data = snapshots.dump_record(decision.record)
        self._send(messages.RecordTransfer(data=data))

    def _send(self, message):
        try:
            self._connection.send(message)
        except edge_exceptions.ConnectionLost:
            self._answer_received.set()
