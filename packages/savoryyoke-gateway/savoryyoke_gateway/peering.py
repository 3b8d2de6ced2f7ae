"""Exchange heartbeats with peers."""

import contextlib
import dataclasses
import itertools
import socket

import anyio

from savoryyoke.peers import batches
from savoryyoke.peers import conf as peers_conf
from savoryyoke.peers import messages
from savoryyoke.peers import pacing
from savoryyoke.peers import relays
from savoryyoke.peers import slow_targets
from savoryyoke.peers import table

from savoryyoke_edge import datagrams
from savoryyoke_edge import logs
from savoryyoke_gateway import conf
from savoryyoke_gateway import copying
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import exceptions as wire_exceptions
from savoryyoke_wire import fleet
from savoryyoke_wire import group as wire_group

# Fields that an oversized heartbeat omits, in this order. Those that peers
# receive in other ways too come first.
_OMISSION_ORDER = (
    'crashes',
    'leaving_targets',
    'contact_hosts',
    'slow_targets',
    'rate_reports',
    'in_flight',
)


class Peering:
    """Own the sockets for heartbeats and the table of peers.

    ``get_entry_state()`` returns whether this entry is ready, whether it is
    leaving, and its requests in flight by target id.
    ``choose_read_pause_s()`` returns the pause in seconds between a change
    and the next read of the platform. ``restart_long_poll()`` cancels a
    long poll of the platform and returns whether there was one. ``copies``
    exchanges whole views of the published values with peers.
    """

    def __init__(
        self,
        *,
        settings,
        published_state,
        dispatching,
        suspects,
        get_entry_state,
        choose_read_pause_s,
        restart_long_poll,
        random_fraction,
        clock,
    ):
        self._settings = settings
        self._published_state = published_state
        self._dispatching = dispatching
        self._suspects = suspects
        self._get_entry_state = get_entry_state
        self._clock = clock
        self._started_s = clock()
        self._incarnation = int(random_fraction() * 2**63)
        self._sequence = itertools.count(1)
        self._message_ids = itertools.count(int(clock() * 1000))
        self._live_peer_ids = set()
        self._slow_targets = slow_targets.SlowTargets()
        self._pacing = pacing.HeartbeatPacing()
        self._socket = None
        self._reader = fleet.HeartbeatReader()
        self.table = table.PeerTable(
            own_id=settings.vm_id,
            own_host=settings.peer_host,
            seed_hosts=settings.seed_hosts,
        )
        self._batching = batches.Batching(
            own_host=settings.peer_host,
            own_data_centre=settings.data_centre,
            table=self.table,
        )
        self._uses_batches = False
        self._batch_timer = None
        self._batch_due_s = None
        self._uncollected_count = 0
        self.copies = copying.ViewCopies(
            settings=settings,
            published_state=published_state,
            table=self.table,
            choose_read_pause_s=choose_read_pause_s,
            restart_long_poll=restart_long_poll,
            random_fraction=random_fraction,
            clock=clock,
        )

    def serving_addresses(self):
        """Return the addresses of the peers that accept requests."""
        live_peers = self.table.alive(now_s=self._clock())
        return table.serving_addresses(live_peers)

    async def run(self):
        """Exchange heartbeats and copies until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._exchange_heartbeats)
            group.start_soon(self._serve_agents)
            group.start_soon(self.copies.run)

    async def announce(self):
        """Send a heartbeat to all contact hosts immediately."""
        if self._socket is not None:
            self._send_heartbeats(without_relays=True)

    async def _exchange_heartbeats(self):
        with contextlib.closing(
            datagrams.DatagramSocket(
                host=self._settings.peer_host,
                port=self._settings.peer_port,
                limit_bytes=wire_conf.DATAGRAM_LIMIT_BYTES,
                datagrams_per_read=conf.DATAGRAMS_PER_READ,
                receive=self._receive_datagram,
                report_unsent=self._report_unsent,
            )
        ) as self._socket:
            self._batch_timer = None
            async with anyio.create_task_group() as group:
                group.start_soon(self._socket.wait_for_failure)
                while True:
                    self._send_heartbeats()
                    self._remove_silent_peers()
                    self._suspects.update_peers(
                        self.table.alive(now_s=self._clock())
                    )
                    self._published_state.expire()
                    self._publish_paces()
                    self._dispatching.set_entry_counts(
                        known=self._count_known_entries(),
                        heard=1 + len(self.table.alive(now_s=self._clock())),
                    )
                    self._dispatching.tick()
                    await anyio.sleep(self._interval_s())

    def _count_known_entries(self):
        """Return the number of entries, with this one.

        Soon after the start, heartbeats of some entries may be missing.
        """
        if self._clock() - self._started_s < conf.ENTRIES_HEARD_AFTER_S:
            return max(self.table.max_entry_count, conf.EXPECTED_ENTRY_COUNT)
        return self.table.max_entry_count

    def _interval_s(self):
        peer_count = self.table.max_entry_count - 1
        if self._uses_batches:
            return pacing.choose_batch_interval_s(peer_count=peer_count)
        return pacing.choose_interval_s(peer_count=peer_count)

    def _send_heartbeats(self, *, without_relays=False):
        uses_relays = not without_relays and relays.uses_relays(
            entry_count=self.table.max_entry_count
        )
        heartbeat = self._pacing.select(
            self._build_heartbeat(wants_relay=uses_relays),
            now_s=self._clock(),
        )
        if heartbeat is None:
            return
        datagram = self._encode(heartbeat)
        if datagram is None:
            return
        now_s = self._clock()
        hosts = self.table.contact_hosts(now_s=now_s)
        if not uses_relays:
            self._send_to_all(datagram, hosts)
        elif not fleet.fits_batch(datagram):
            hosts = relays.choose_recipients(
                hosts,
                live_heartbeats=self.table.alive(now_s=now_s),
                own_data_centre=self._settings.data_centre,
                sequence=heartbeat.sequence,
            )
            self._send_to_all(datagram, hosts)
        else:
            self._send_to_collectors(heartbeat, datagram, hosts, now_s)

    def _send_to_collectors(self, heartbeat, datagram, hosts, now_s):
        recipients = self._batching.choose_recipients(
            hosts, sequence=heartbeat.sequence, now_s=now_s
        )
        self._uses_batches = bool(recipients.collector_hosts)
        self._send_to_all(datagram, recipients.direct_hosts)
        turn = self._batching.turn(now_s=now_s)
        for batch in fleet.encode_batches(
            [datagram], turn=turn, wants_collecting=True
        ):
            self._send_to_all(batch, recipients.collector_hosts)
        if recipients.is_collector:
            self._collect(heartbeat, datagram, turn=turn, now_s=now_s)

    def _collect(self, heartbeat, datagram, *, turn, now_s):
        if self._batching.collect(heartbeat, datagram, turn=turn, now_s=now_s):
            self._schedule_batch(now_s)
        else:
            self._uncollected_count += 1

    def _schedule_batch(self, now_s):
        """Set the timer to when the next batch is due."""
        due_s = self._batching.due_s
        if due_s is None or (
            self._batch_timer is not None and self._batch_due_s <= due_s
        ):
            return
        if self._batch_timer is not None:
            self._batch_timer.cancel()
        self._batch_due_s = due_s
        self._batch_timer = self._socket.call_later(
            due_s - now_s, self._send_batches
        )

    def _send_batches(self):
        self._batch_timer = None
        now_s = self._clock()
        heartbeats, hosts = self._batching.take_due(now_s=now_s)
        for batch in fleet.encode_batches(
            heartbeats,
            turn=self._batching.turn(now_s=now_s),
            wants_collecting=False,
        ):
            self._send_to_all(batch, hosts)
        if self._uncollected_count:
            logs.write_event(
                'heartbeats_not_collected',
                level='warning',
                count=self._uncollected_count,
            )
            self._uncollected_count = 0
        self._schedule_batch(now_s)

    def _send_to_all(self, datagram, hosts):
        for host in hosts:
            self._socket.send(datagram, (host, self._settings.peer_port))

    @staticmethod
    def _encode(heartbeat):
        """Return the datagram, or None if the heartbeat is too large.

        Fields are omitted in the order of ``_OMISSION_ORDER`` until it fits:
        a heartbeat that shows only that this entry is alive is better than
        none.
        """
        left_out = []
        while True:
            try:
                return fleet.encode_heartbeat(heartbeat)
            except wire_exceptions.LimitExceeded as error:
                nonempty_fields = [
                    name
                    for name in _OMISSION_ORDER
                    if getattr(heartbeat, name)
                ]
                left_out.extend(nonempty_fields[:1])
                logs.write_event(
                    'heartbeat_too_large',
                    level='warning',
                    left_out=','.join(left_out),
                    reason=str(error),
                )
                if not nonempty_fields:
                    return None
                heartbeat = dataclasses.replace(
                    heartbeat, **{nonempty_fields[0]: ()}
                )

    @staticmethod
    def _report_unsent(host, error):
        logs.write_event(
            'heartbeat_not_sent',
            level='warning',
            host=host,
            reason=str(error),
        )

    def _build_heartbeat(self, *, wants_relay):
        is_ready, is_leaving, in_flight = self._get_entry_state()
        return messages.Heartbeat(
            sender_id=self._settings.vm_id,
            sender_host=self._settings.peer_host,
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            caller_address=str(self._settings.caller_address),
            data_centre=self._settings.data_centre,
            is_ready=is_ready,
            is_leaving=is_leaving,
            published_as_of=self._published_state.as_of,
            configuration_version=self._published_state.configuration_version,
            in_flight=tuple(
                messages.InFlight(target_id=target_id, requests=requests)
                for target_id, requests in in_flight.items()
            ),
            contact_hosts=self.table.alive_hosts(now_s=self._clock()),
            slow_targets=self._slow_targets.reports_to_forward(
                now_s=self._clock()
            ),
            leaving_targets=self._dispatching.leaving_hints(),
            rate_reports=self._dispatching.rate_reports(),
            evidence_digest=self._suspects.digest(),
            crashes=self._suspects.reports_due(
                self.table.alive(now_s=self._clock())
            ),
            can_relay=True,
            wants_relay=wants_relay,
            can_batch=True,
        )

    def _receive_datagram(self, datagram, host):
        try:
            if fleet.is_batch(datagram):
                self._receive_batch(fleet.decode_batch(datagram), host)
            else:
                self._receive_single(datagram, host)
        except wire_exceptions.WireError as error:
            logs.write_event(
                'heartbeat_refused',
                level='warning',
                host=host,
                reason=str(error),
            )

    def _receive_single(self, datagram, host):
        """Store a heartbeat and pass it on if it asks for it."""
        heartbeat = self._reader.read(datagram)
        now_s = self._clock()
        if not self.table.receive(heartbeat, now_s=now_s):
            return
        self._process_heartbeat(heartbeat, now_s)
        if relays.needs_forward(
            heartbeat,
            source_host=host,
            own_data_centre=self._settings.data_centre,
        ):
            turn = self._batching.turn(now_s=now_s)
            self._pass_on(heartbeat, datagram, turn=turn, now_s=now_s)

    def _pass_on(self, heartbeat, datagram, *, turn, now_s):
        """Send a heartbeat on in the own data centre, in batches if possible.

        Entries that don't support batches get those of their own data centre
        from the sender.
        """
        if fleet.fits_batch(datagram):
            self._collect(heartbeat, datagram, turn=turn, now_s=now_s)
            hosts = self._batching.single_hosts(now_s=now_s)
        else:
            hosts = relays.choose_forward_hosts(
                heartbeat,
                source_host=heartbeat.sender_host,
                live_heartbeats=self.table.alive(now_s=now_s),
                own_data_centre=self._settings.data_centre,
            )
        if heartbeat.data_centre != self._settings.data_centre:
            self._send_to_all(datagram, hosts)

    def _receive_batch(self, batch, host):
        """Store the heartbeats of a batch and collect them if it asks for it.

        Raise the first error only after all others were read.
        """
        now_s = self._clock()
        self._batching.observe_turn(batch.turn, now_s=now_s)
        errors = []
        for datagram in batch.heartbeats:
            try:
                heartbeat = self._reader.read(datagram)
            except wire_exceptions.WireError as error:
                errors.append(error)
                continue
            if not batch.wants_collecting:
                self._batching.discard(heartbeat)
            if not self.table.receive(heartbeat, now_s=now_s):
                continue
            self._process_heartbeat(heartbeat, now_s)
            if batch.wants_collecting:
                self._pass_on(
                    heartbeat, datagram, turn=batch.turn, now_s=now_s
                )
        if errors:
            raise errors[0]

    def _process_heartbeat(self, heartbeat, now_s):
        self._dispatching.set_peer_requests(
            peer_id=heartbeat.sender_id,
            requests_by_target_id={
                item.target_id: item.requests for item in heartbeat.in_flight
            },
        )
        self._slow_targets.record_forwarded(
            heartbeat.slow_targets, now_s=now_s
        )
        self._dispatching.add_leaving_hints(heartbeat.leaving_targets)
        self._dispatching.add_rate_reports(
            heartbeat.rate_reports,
            peer_id=heartbeat.sender_id,
            peer_incarnation=heartbeat.incarnation,
        )
        self._suspects.add_reports(
            heartbeat.crashes, source=heartbeat.sender_id
        )
        if heartbeat.sender_id not in self._live_peer_ids:
            self._live_peer_ids.add(heartbeat.sender_id)
            logs.write_event(
                'peer_heard',
                peer=heartbeat.sender_id,
                address=heartbeat.caller_address,
                peers=len(self._live_peer_ids),
            )

    def _remove_silent_peers(self):
        for peer_id in self.table.remove_silent(now_s=self._clock()):
            self._dispatching.remove_peer(peer_id)
            self._live_peer_ids.discard(peer_id)
            logs.write_event(
                'peer_lost',
                level='warning',
                peer=peer_id,
                silent_s=peers_conf.PEER_TIMEOUT_S,
                peers=len(self._live_peer_ids),
            )

    async def _serve_agents(self):
        """Receive pace reports and answer questions of the ranks' agents."""
        async with await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=self._settings.peer_host,
            local_port=self._settings.pace_port,
        ) as agents_socket:
            async for datagram, (host, port) in agents_socket:
                try:
                    message = wire_group.decode(datagram)
                except wire_exceptions.WireError as error:
                    logs.write_event(
                        'pace_refused',
                        level='warning',
                        host=host,
                        reason=str(error),
                    )
                    continue
                match message:
                    case wire_group.PaceReport():
                        self._slow_targets.record(
                            message.address, message.pace, now_s=self._clock()
                        )
                    case wire_group.MembersRequest():
                        await self._send_members(
                            agents_socket, message.group, host, port
                        )

    async def _send_members(self, agents_socket, group, host, port):
        """Send the members of a group, if any are known."""
        members = self._published_state.find_group_members(group)
        if members is None:
            return
        report = wire_group.MembersReport(group=group, members=members)
        try:
            for datagram in wire_group.encode_datagrams(
                report, message_id=next(self._message_ids)
            ):
                await agents_socket.sendto(datagram, host, port)
        except (OSError, wire_exceptions.LimitExceeded) as error:
            logs.write_event(
                'members_not_sent',
                level='warning',
                group=group,
                host=host,
                reason=str(error),
            )

    def _publish_paces(self):
        self._dispatching.set_paces(
            self._slow_targets.paces(now_s=self._clock())
        )
