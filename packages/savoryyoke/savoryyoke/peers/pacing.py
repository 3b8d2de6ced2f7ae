"""Decide which heartbeats to send and what they carry."""

import dataclasses

from savoryyoke.peers import conf


class HeartbeatPacing:
    """Leave out what the other entries know already.

    Answers the many small datagrams of a quiet fleet, which cost more bytes
    between data centres than the requests of callers.
    """

    def __init__(self):
        self._sent = None
        self._sent_s = None
        self._contact_hosts = None
        self._contacts_sent_s = None

    def select(self, heartbeat, *, now_s):
        """Return the heartbeat to send, or None.

        Its sequence number and the ages in it are not compared. Contacts
        are left out while they are known.
        """
        if self._is_known(heartbeat, now_s):
            return None
        self._sent = heartbeat
        self._sent_s = now_s
        if self._are_contacts_known(heartbeat, now_s):
            return dataclasses.replace(heartbeat, contact_hosts=())
        self._contact_hosts = heartbeat.contact_hosts
        self._contacts_sent_s = now_s
        return heartbeat

    def _is_known(self, heartbeat, now_s):
        if self._sent is None:
            return False
        if now_s - self._sent_s >= conf.UNCHANGED_HEARTBEAT_S:
            return False
        return _strip(heartbeat) == _strip(self._sent)

    def _are_contacts_known(self, heartbeat, now_s):
        return (
            heartbeat.contact_hosts == self._contact_hosts
            and now_s - self._contacts_sent_s < conf.CONTACTS_S
        )


def _strip(heartbeat):
    """Return a heartbeat without what changes with each one."""
    leaving = tuple(
        dataclasses.replace(x, age_s=0.0) for x in heartbeat.leaving_targets
    )
    return dataclasses.replace(heartbeat, sequence=0, leaving_targets=leaving)


def find_interval_s(*, peers):
    """Return the seconds between two heartbeats.

    Answers large fleets, where every entry hears every other.
    """
    return max(
        conf.HEARTBEAT_S,
        min(peers * conf.HEARTBEAT_PER_PEER_S, conf.HEARTBEAT_SAFE_S),
        peers * conf.HEARTBEAT_LEAST_PER_PEER_S,
    )
