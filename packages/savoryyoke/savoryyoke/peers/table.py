"""Track peers by their heartbeats."""

import dataclasses

from savoryyoke.peers import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Hold the newest heartbeat of a peer and when it arrived."""

    heartbeat: object
    received_s: float


class PeerTable:
    """Own the newest heartbeats of the other entries.

    ``seed_hosts`` are hosts that are always sent heartbeats.
    """

    def __init__(self, *, own_id, own_host, seed_hosts):
        self._own_id = own_id
        self._own_host = own_host
        self.set_seeds(seed_hosts)
        self._peers_by_id = {}
        self._contact_seen_s_by_host = {}
        self._max_alive = 0

    @property
    def max_entry_count(self):
        """Return the largest number of entries alive at once, with this one.

        Limits that hold over all entries are divided by it, so that a peer
        whose heartbeats are lost can still use its share.
        """
        return self._max_alive + 1

    def set_seeds(self, seed_hosts):
        """Set the hosts that are always sent heartbeats."""
        self._seed_hosts = frozenset(seed_hosts) - {self._own_host}

    def receive(self, heartbeat, *, now_s):
        """Store a heartbeat; return whether it was new.

        It is not if it is this entry's own, or if a later heartbeat of the
        same incarnation has arrived.
        """
        if heartbeat.sender_id == self._own_id:
            return False
        current = self._peers_by_id.get(heartbeat.sender_id)
        if current is not None and self._is_stale(
            current.heartbeat, heartbeat
        ):
            return False
        was_alive = current is not None and self._is_alive(current, now_s)
        self._peers_by_id[heartbeat.sender_id] = Peer(
            heartbeat=heartbeat, received_s=now_s
        )
        self._contact_seen_s_by_host[heartbeat.sender_host] = now_s
        for host in heartbeat.contact_hosts:
            if host != self._own_host:
                self._contact_seen_s_by_host.setdefault(host, now_s)
        if not was_alive:
            self._max_alive = max(
                self._max_alive, len(self.alive(now_s=now_s))
            )
        return True

    def alive(self, *, now_s):
        """Return the newest heartbeats of peers within ``PEER_TIMEOUT_S``."""
        return [
            peer.heartbeat
            for peer in self._peers_by_id.values()
            if self._is_alive(peer, now_s)
        ]

    def remove_silent(self, *, now_s):
        """Remove the peers whose timeout has passed; return their ids."""
        silent_ids = [
            peer_id
            for peer_id, peer in self._peers_by_id.items()
            if not self._is_alive(peer, now_s)
        ]
        for peer_id in silent_ids:
            del self._peers_by_id[peer_id]
        return silent_ids

    def contact_hosts(self, *, now_s):
        """Return the hosts to send heartbeats to, sorted."""
        self._contact_seen_s_by_host = {
            host: seen_s
            for host, seen_s in self._contact_seen_s_by_host.items()
            if now_s - seen_s <= conf.CONTACT_LIFETIME_S
        }
        return sorted(self._seed_hosts | set(self._contact_seen_s_by_host))

    def alive_hosts(self, *, now_s):
        """Return hosts of live peers, at most ``HEARTBEAT_CONTACTS_LIMIT``.

        In a larger fleet, other hosts are returned in each
        ``CONTACTS_INTERVAL_S``, so that all peers learn of all others.
        """
        hosts = sorted(
            heartbeat.sender_host for heartbeat in self.alive(now_s=now_s)
        )
        limit = conf.HEARTBEAT_CONTACTS_LIMIT
        if len(hosts) <= limit:
            return tuple(hosts)
        start = int(now_s / conf.CONTACTS_INTERVAL_S) * limit % len(hosts)
        return tuple((hosts[start:] + hosts[:start])[:limit])

    @staticmethod
    def _is_alive(peer, now_s):
        return now_s - peer.received_s <= conf.PEER_TIMEOUT_S

    @staticmethod
    def _is_stale(current, heartbeat):
        return (
            current.incarnation == heartbeat.incarnation
            and heartbeat.sequence <= current.sequence
        )


def serving_addresses(heartbeats):
    """Return the caller addresses of the entries that accept requests."""
    return [
        heartbeat.caller_address
        for heartbeat in heartbeats
        if heartbeat.is_ready and not heartbeat.is_leaving
    ]


def find_newer_view(heartbeats, *, as_of, configuration_version):
    """Return the heartbeat of the peer with the newest view.

    Return None if neither its revision is above ``as_of`` nor its
    configuration's version above ``configuration_version``. The platform may
    publish an older configuration than the one in force, after it was restored
    from a copy.
    """
    newest = max(
        heartbeats,
        key=lambda heartbeat: (
            heartbeat.published_as_of,
            heartbeat.configuration_version,
        ),
        default=None,
    )
    if newest is not None and newest.published_as_of > as_of:
        return newest
    newest = max(
        heartbeats,
        key=lambda heartbeat: heartbeat.configuration_version,
        default=None,
    )
    if newest is None or newest.configuration_version <= configuration_version:
        return None
    return newest
