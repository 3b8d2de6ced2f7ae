"""Track peers by their heartbeats."""

import dataclasses

from savoryyoke.peers import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Hold the newest heartbeat of a peer and when it arrived."""

    heartbeat: object
    heard_s: float


class PeerTable:
    """Own what is known of the other entries."""

    def __init__(self, *, own_id, own_host, seed_hosts):
        self._own_id = own_id
        self._own_host = own_host
        self.set_seeds(seed_hosts)
        self._peers_by_id = {}
        self._contacts_seen_s = {}
        self._most_alive = 0

    @property
    def most_entries(self):
        """Return the largest number of entries seen at once, this included.

        Shares of limits that hold over all entries are cut by it, so that
        peers that merely are not heard still find their share free.
        """
        return self._most_alive + 1

    def set_seeds(self, seed_hosts):
        """Take over the hosts that are always contacted."""
        self._seed_hosts = frozenset(seed_hosts) - {self._own_host}

    def receive(self, heartbeat, *, now_s):
        """Take in a heartbeat; return whether it was newer than known."""
        if heartbeat.sender_id == self._own_id:
            return False
        known = self._peers_by_id.get(heartbeat.sender_id)
        if known is not None and self._is_stale(known.heartbeat, heartbeat):
            return False
        self._peers_by_id[heartbeat.sender_id] = Peer(
            heartbeat=heartbeat, heard_s=now_s
        )
        self._contacts_seen_s[heartbeat.sender_host] = now_s
        for host in heartbeat.contact_hosts:
            if host != self._own_host:
                self._contacts_seen_s.setdefault(host, now_s)
        self._most_alive = max(self._most_alive, len(self.alive(now_s=now_s)))
        return True

    def alive(self, *, now_s):
        """Return the heartbeats of the peers heard lately."""
        return [
            peer.heartbeat
            for peer in self._peers_by_id.values()
            if now_s - peer.heard_s <= conf.PEER_TIMEOUT_S
        ]

    def forget_silent(self, *, now_s):
        """Drop silent peers and return their ids."""
        silent = [
            peer_id
            for peer_id, peer in self._peers_by_id.items()
            if now_s - peer.heard_s > conf.PEER_TIMEOUT_S
        ]
        for peer_id in silent:
            del self._peers_by_id[peer_id]
        return silent

    def contact_hosts(self, *, now_s):
        """Return the hosts to send heartbeats to, in a fixed order."""
        self._contacts_seen_s = {
            host: seen_s
            for host, seen_s in self._contacts_seen_s.items()
            if now_s - seen_s <= conf.CONTACT_MEMORY_S
        }
        return sorted(self._seed_hosts | set(self._contacts_seen_s))

    def hosts_alive(self, *, now_s):
        """Return the hosts of the peers heard lately."""
        hosts = sorted(x.sender_host for x in self.alive(now_s=now_s))
        return tuple(hosts[: conf.PASSED_CONTACTS_LIMIT])

    @staticmethod
    def _is_stale(known, heartbeat):
        return (
            known.incarnation == heartbeat.incarnation
            and heartbeat.sequence <= known.sequence
        )


def serving_addresses(heartbeats):
    """Return where callers may connect, from entries that take requests."""
    return [
        heartbeat.caller_address
        for heartbeat in heartbeats
        if heartbeat.is_ready and not heartbeat.is_leaving
    ]


def find_newer_view(heartbeats, *, as_of):
    """Return the host of the peer with the newest view, or None.

    Only a view that is newer than ``as_of`` counts.
    """
    newest = max(heartbeats, key=lambda x: x.published_as_of, default=None)
    if newest is None or newest.published_as_of <= as_of:
        return None
    return newest.sender_host
