"""Decide which entries collect heartbeats and when they send them on.

In a large fleet, a heartbeat goes to two collectors in the own data centre
and to one in each other. A collector sends all heartbeats of a short time to
the entries of its data centre in one datagram. The collectors follow from a
number of the turn, which entries learn from each other. Entries that disagree
about the turn, or about who is alive, only cause more datagrams: an entry
that gets a heartbeat to collect always sends it on.
"""

import dataclasses
import functools
import math

from savoryyoke.peers import conf
from savoryyoke.peers import relays


@dataclasses.dataclass(frozen=True, kw_only=True)
class Recipients:
    """Hold the hosts that a heartbeat is sent to.

    Those in ``collector_hosts`` get it to collect it. ``is_collector`` says
    that this entry itself is a collector of its data centre in this turn.
    """

    direct_hosts: tuple[str, ...]
    collector_hosts: tuple[str, ...] = ()
    is_collector: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Collected:
    datagram: bytes
    due_s: float


class Turns:
    """Own the number of the turn in which entries collect.

    Each entry begins the next turn by its own clock and adopts newer ones of
    others, so that the fastest clock leads. Numbers wrap around.
    """

    def __init__(self):
        self._number = 0
        self._began_s = None

    def current(self, *, now_s):
        """Return the number of the turn, after beginning a due one."""
        if self._began_s is None:
            self._began_s = now_s
        elif now_s - self._began_s >= conf.COLLECTOR_TURN_S:
            self._begin((self._number + 1) % conf.TURNS, now_s)
        return self._number

    def observe(self, number, *, now_s):
        """Adopt the number that another entry has sent if it is newer."""
        if 0 < (number - self._number) % conf.TURNS < conf.TURNS // 2:
            self._begin(number, now_s)

    def _begin(self, number, now_s):
        self._number = number
        self._began_s = now_s


class Collection:
    """Own the heartbeats that wait to be sent on."""

    def __init__(self):
        self._collected_by_key = {}
        self._due_s = None

    @property
    def due_s(self):
        """Return when the next batch is due, or None without heartbeats."""
        return self._due_s

    def add(self, heartbeat, datagram, *, due_s):
        """Add a heartbeat that must be sent on at ``due_s``.

        Return whether there was room for it.
        """
        if len(self._collected_by_key) >= conf.COLLECTED_LIMIT:
            return False
        self._collected_by_key[_key(heartbeat)] = _Collected(
            datagram=datagram, due_s=due_s
        )
        if self._due_s is None or due_s < self._due_s:
            self._due_s = due_s
        return True

    def discard(self, heartbeat):
        """Remove a heartbeat that another collector has sent on."""
        self._collected_by_key.pop(_key(heartbeat), None)

    def take(self, *, now_s, ahead_s=0.0):
        """Remove and return the datagrams that are due.

        Those that are due within ``ahead_s`` are returned too, unless there
        are no others.
        """
        collected = self._collected_by_key
        taken_keys = []
        if any(item.due_s <= now_s for item in collected.values()):
            taken_keys = [
                key
                for key, item in collected.items()
                if item.due_s <= now_s + ahead_s
            ]
        datagrams = [collected.pop(key).datagram for key in taken_keys]
        self._due_s = min(
            (item.due_s for item in collected.values()), default=None
        )
        return datagrams


class Batching:
    """Choose the recipients of heartbeats and collect those of others.

    ``table`` is the ``PeerTable`` of this entry.
    """

    def __init__(self, *, own_host, own_data_centre, table):
        self._own_host = own_host
        self._own_data_centre = own_data_centre
        self._table = table
        self._turns = Turns()
        self._collection = Collection()

    @property
    def due_s(self):
        """Return when the next batch is due, or None without heartbeats."""
        return self._collection.due_s

    def turn(self, *, now_s):
        """Return the number of the turn."""
        return self._turns.current(now_s=now_s)

    def observe_turn(self, number, *, now_s):
        """Adopt the number of the turn that another entry has sent."""
        self._turns.observe(number, now_s=now_s)

    def choose_recipients(self, contact_hosts, *, sequence, now_s):
        """Return the ``Recipients`` of a heartbeat of this entry.

        Contacts that are not known to be alive, and peers that don't support
        batches, get it directly or through a relay.
        """
        live_heartbeats = self._table.alive(now_s=now_s)
        turn = self.turn(now_s=now_s)
        contacts = frozenset(contact_hosts)
        hosts_by_data_centre = _group_batch_hosts(
            heartbeat
            for heartbeat in live_heartbeats
            if heartbeat.sender_host in contacts
        )
        own_hosts = hosts_by_data_centre.pop(self._own_data_centre, [])
        collectors = []
        skipped = set()
        if len(own_hosts) >= conf.MIN_BATCH_PEERS:
            collectors = choose_collectors([*own_hosts, self._own_host], turn)
            skipped.update(own_hosts)
        collector_hosts = [
            host for host in collectors if host != self._own_host
        ]
        for hosts in hosts_by_data_centre.values():
            collector_hosts.append(choose_collectors(hosts, turn)[0])
        # A collector sends heartbeats of other data centres to all entries of
        # its own, also to those that don't support batches.
        others = []
        for heartbeat in live_heartbeats:
            if heartbeat.data_centre in hosts_by_data_centre:
                skipped.add(heartbeat.sender_host)
            else:
                others.append(heartbeat)
        direct_hosts = relays.choose_recipients(
            [host for host in contact_hosts if host not in skipped],
            live_heartbeats=others,
            own_data_centre=self._own_data_centre,
            sequence=sequence,
        )
        return Recipients(
            direct_hosts=tuple(direct_hosts),
            collector_hosts=tuple(collector_hosts),
            is_collector=self._own_host in collectors,
        )

    def collect(self, heartbeat, datagram, *, turn, now_s):
        """Keep a heartbeat until the next batch; return whether it fits.

        ``turn`` is the one in which its sender has chosen the collectors. The
        second collector waits longer, so that it sends nothing on that the
        first one has sent.
        """
        wait_s = choose_window_s(peer_count=self._table.max_entry_count - 1)
        if heartbeat.data_centre == self._own_data_centre:
            hosts = _group_batch_hosts(self._table.alive(now_s=now_s)).get(
                self._own_data_centre, []
            )
            collectors = choose_collectors([*hosts, self._own_host], turn)
            if self._own_host in collectors[1:]:
                wait_s = conf.SECOND_COLLECTOR_WAIT_S
        return self._collection.add(heartbeat, datagram, due_s=now_s + wait_s)

    def discard(self, heartbeat):
        """Forget a heartbeat that another collector has sent on."""
        self._collection.discard(heartbeat)

    def take_due(self, *, now_s):
        """Return the collected datagrams that are due, and their recipients.

        The recipients are the hosts of live peers in the own data centre that
        support batches.
        """
        datagrams = self._collection.take(
            now_s=now_s,
            ahead_s=choose_window_s(
                peer_count=self._table.max_entry_count - 1
            ),
        )
        if not datagrams:
            return [], []
        hosts_by_data_centre = _group_batch_hosts(
            self._table.alive(now_s=now_s)
        )
        return datagrams, hosts_by_data_centre.get(self._own_data_centre, [])

    def single_hosts(self, *, now_s):
        """Return the live peers here that get each heartbeat by itself."""
        return [
            heartbeat.sender_host
            for heartbeat in self._table.alive(now_s=now_s)
            if heartbeat.data_centre == self._own_data_centre
            and not heartbeat.can_batch
        ]


def choose_collectors(hosts, turn):
    """Return the first and the second collector among ``hosts``.

    There is no second one if there is only one host. Hosts with similar
    addresses often fail together, so both are far apart in the sorted order,
    and so are the first ones of consecutive turns.
    """
    ranked = sorted(hosts)
    count = len(ranked)
    first = turn * _find_stride(count) % count
    ranks = [first, (first + count // 2) % count]
    return [ranked[rank] for rank in ranks[:count]]


@functools.cache
def _find_stride(count):
    """Return a number of ranks between turns that leaves out no rank.

    It is close to the golden section, so that the first collectors of some
    consecutive turns are spread evenly.
    """
    stride = max(round(0.382 * count), 1)
    while math.gcd(stride, count) > 1:
        stride += 1
    return stride


def choose_window_s(*, peer_count):
    """Return for how long a collector collects."""
    return max(
        conf.MIN_BATCH_WINDOW_S,
        min(
            peer_count * conf.BATCH_WINDOW_PER_PEER_S,
            conf.MAX_BATCH_WINDOW_S,
        ),
    )


def _group_batch_hosts(heartbeats):
    """Return the hosts that support batches, by data centre."""
    hosts_by_data_centre = {}
    for heartbeat in heartbeats:
        if heartbeat.can_batch:
            hosts_by_data_centre.setdefault(heartbeat.data_centre, []).append(
                heartbeat.sender_host
            )
    return hosts_by_data_centre


def _key(heartbeat):
    return heartbeat.sender_id, heartbeat.incarnation, heartbeat.sequence
