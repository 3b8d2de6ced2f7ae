"""Simulate entries that exchange heartbeats in batches."""

import heapq
import itertools
import random

from savoryyoke.peers import batches
from savoryyoke.peers import messages
from savoryyoke.peers import pacing
from savoryyoke.peers import relays
from savoryyoke.peers import table
from savoryyoke.published import models

LATENCY_S = 0.002


def build_heartbeat(host, data_centre, *, sequence=1, **changes):
    """Return a heartbeat of the entry at ``host``, which is also its id."""
    fields = {
        'sender_id': host,
        'sender_host': host,
        'incarnation': 1,
        'sequence': sequence,
        'caller_address': f'{host}:80',
        'data_centre': data_centre,
        'is_ready': True,
        'is_leaving': False,
        'published_as_of': models.Revision(number=1),
        'in_flight': (),
        'contact_hosts': (),
        'can_relay': True,
        'can_batch': True,
    }
    return messages.Heartbeat(**(fields | changes))


class Entry:
    """Send and receive heartbeats like the gateway, without a network."""

    def __init__(self, *, host, data_centre, fleet, can_batch):
        self.host = host
        self.data_centre = data_centre
        self.can_batch = can_batch
        self.table = table.PeerTable(
            own_id=host, own_host=host, seed_hosts=['h0', 'h1']
        )
        self.lost_peers = []
        self.missed = []
        self.built_s_by_sequence = {}
        self._fleet = fleet
        self._sequence = itertools.count(1)
        self._sequences_by_sender = {}
        self._uses_batches = False
        self._batching = batches.Batching(
            own_host=host, own_data_centre=data_centre, table=self.table
        )

    def beat(self, now_s):
        """Send a heartbeat and return the time to the next one."""
        uses_relays = relays.uses_relays(
            entry_count=self.table.max_entry_count
        )
        heartbeat = build_heartbeat(
            self.host,
            self.data_centre,
            sequence=next(self._sequence),
            contact_hosts=self.table.alive_hosts(now_s=now_s),
            wants_relay=uses_relays,
            can_batch=self.can_batch,
        )
        self.built_s_by_sequence[heartbeat.sequence] = now_s
        hosts = self.table.contact_hosts(now_s=now_s)
        if uses_relays and self.can_batch:
            self._send_to_collectors(heartbeat, hosts, now_s)
        elif uses_relays:
            hosts = relays.choose_recipients(
                hosts,
                live_heartbeats=self.table.alive(now_s=now_s),
                own_data_centre=self.data_centre,
                sequence=heartbeat.sequence,
            )
            self._send(heartbeat, hosts)
        else:
            self._send(heartbeat, hosts)
        self.lost_peers += self.table.remove_silent(now_s=now_s)
        peer_count = self.table.max_entry_count - 1
        if self._uses_batches:
            return pacing.choose_batch_interval_s(peer_count=peer_count)
        return pacing.choose_interval_s(peer_count=peer_count)

    def _send_to_collectors(self, heartbeat, hosts, now_s):
        recipients = self._batching.choose_recipients(
            hosts, sequence=heartbeat.sequence, now_s=now_s
        )
        self._uses_batches = bool(recipients.collector_hosts)
        self._send(heartbeat, recipients.direct_hosts)
        turn = self._batching.turn(now_s=now_s)
        self._send((turn, True, [heartbeat]), recipients.collector_hosts)
        if recipients.is_collector:
            self._collect(heartbeat, turn, now_s)

    def _send(self, message, hosts):
        for host in hosts:
            self._fleet.send(message, self.host, host)

    def _collect(self, heartbeat, turn, now_s):
        self._batching.collect(heartbeat, heartbeat, turn=turn, now_s=now_s)
        self._fleet.call_at(self._batching.due_s, self.send_batch)

    def send_batch(self, now_s):
        """Send what is due."""
        heartbeats, hosts = self._batching.take_due(now_s=now_s)
        if heartbeats:
            turn = self._batching.turn(now_s=now_s)
            self._send((turn, False, heartbeats), hosts)
        if self._batching.due_s is not None:
            self._fleet.call_at(self._batching.due_s, self.send_batch)

    def receive(self, message, source_host, now_s):
        """Receive a heartbeat or a batch of them."""
        if isinstance(message, messages.Heartbeat):
            is_new = self._store(message, now_s)
            if is_new and relays.needs_forward(
                message,
                source_host=source_host,
                own_data_centre=self.data_centre,
            ):
                turn = self._batching.turn(now_s=now_s)
                self._pass_on(message, turn, now_s)
            return
        if not self.can_batch:
            raise AssertionError('a batch was sent to an old build')
        turn, wants_collecting, heartbeats = message
        self._batching.observe_turn(turn, now_s=now_s)
        for heartbeat in heartbeats:
            if not wants_collecting:
                self._batching.discard(heartbeat)
            is_new = self._store(heartbeat, now_s)
            if is_new and wants_collecting:
                self._pass_on(heartbeat, turn, now_s)

    def _store(self, heartbeat, now_s):
        """Store a heartbeat and note whether some before it are missing."""
        last_sequence = self._sequences_by_sender.get(
            heartbeat.sender_id, heartbeat.sequence - 1
        )
        if not self.table.receive(heartbeat, now_s=now_s):
            return False
        if heartbeat.sequence > last_sequence + 1:
            self.missed.append(heartbeat.sender_id)
        self._sequences_by_sender[heartbeat.sender_id] = heartbeat.sequence
        return True

    def _pass_on(self, heartbeat, turn, now_s):
        if not self.can_batch:
            hosts = relays.choose_forward_hosts(
                heartbeat,
                source_host=heartbeat.sender_host,
                live_heartbeats=self.table.alive(now_s=now_s),
                own_data_centre=self.data_centre,
            )
            self._send(heartbeat, hosts)
            return
        self._collect(heartbeat, turn, now_s)
        if heartbeat.data_centre != self.data_centre:
            self._send(heartbeat, self._batching.single_hosts(now_s=now_s))


class Fleet:
    """Run entries in virtual time.

    ``cuts`` are pairs of hosts, from the first to the second of which no
    datagram arrives. Hosts in ``down`` neither send nor receive.
    """

    def __init__(
        self, *, entries, seed=1, loss_share=0.0, data_centres=3, old=()
    ):
        self._random = random.Random(seed)
        self._loss_share = loss_share
        self._data_centres = data_centres
        self._events = []
        self._numbers = itertools.count()
        self.now_s = 0.0
        self.cuts = set()
        self.down = set()
        self.datagrams = 0
        self.entries_by_host = {}
        for number in range(entries):
            self.add(number, can_batch=number not in old)

    def add(self, number, *, can_batch=True):
        """Start an entry within the next 0.4 s."""
        host = f'h{number}'
        entry = Entry(
            host=host,
            data_centre=f'dc{number % self._data_centres}',
            fleet=self,
            can_batch=can_batch,
        )
        self.entries_by_host[host] = entry
        start_s = self.now_s + self._random.uniform(0.0, 0.4)
        self.call_at(start_s, lambda now_s: self._beat(entry, now_s))
        return entry

    def _beat(self, entry, now_s):
        # A late timer keeps the entries from sending in step.
        interval_s = entry.beat(now_s) + self._random.uniform(0.0, 0.004)
        self.call_at(
            now_s + interval_s, lambda later_s: self._beat(entry, later_s)
        )

    def call_at(self, at_s, callback):
        """Call ``callback(now_s)`` at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), callback))

    def send(self, message, source_host, host):
        """Deliver a datagram unless it is lost."""
        if source_host in self.down:
            return
        self.datagrams += 1
        if self._random.random() < self._loss_share:
            return

        def deliver(now_s):
            if host in self.down or (source_host, host) in self.cuts:
                return
            if host in self.entries_by_host:
                self.entries_by_host[host].receive(message, source_host, now_s)

        self.call_at(self.now_s + LATENCY_S, deliver)

    def run(self, seconds):
        """Run for some seconds."""
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback(self.now_s)
        self.now_s = end_s

    def live_entries(self):
        """Return the entries that are not down."""
        return [
            entry
            for host, entry in self.entries_by_host.items()
            if host not in self.down
        ]

    def lost_pairs(self):
        """Return the pairs of an entry and a peer it wrongly took for gone."""
        return [
            (entry.host, peer_id)
            for entry in self.live_entries()
            for peer_id in entry.lost_peers
            if peer_id not in self.down
        ]

    def unknown_pairs(self):
        """Return the pairs of an entry and a live peer it doesn't know."""
        hosts = {entry.host for entry in self.live_entries()}
        return [
            (entry.host, host)
            for entry in self.live_entries()
            for host in hosts
            - {entry.host}
            - {peer.sender_id for peer in entry.table.alive(now_s=self.now_s)}
        ]

    def mean_age_s(self, *, samples=20):
        """Return the mean age of what entries know of each other."""
        total_s = 0.0
        count = 0
        for _ in range(samples):
            self.run(0.1)
            for entry in self.live_entries():
                for heartbeat in entry.table.alive(now_s=self.now_s):
                    sender = self.entries_by_host[heartbeat.sender_id]
                    total_s += (
                        self.now_s
                        - sender.built_s_by_sequence[heartbeat.sequence]
                    )
                    count += 1
        return total_s / count
