"""Choose which heartbeats are sent, with which content and interval."""

import dataclasses

from savoryyoke.peers import batches
from savoryyoke.peers import conf


class HeartbeatPacing:
    """Suppress heartbeats and contacts that have not changed.

    In a fleet with little traffic, the many small datagrams would use more
    bandwidth between data centres than the requests of callers.
    """

    def __init__(self):
        self._last_sent = None
        self._last_sent_s = None
        self._last_contact_hosts = None
        self._last_contacts_sent_s = None

    def select(self, heartbeat, *, now_s):
        """Return the heartbeat to send, or None to send nothing.

        The sequence number, the ages of notices and the demand don't count as
        changes. Contacts are removed from the heartbeat if they have been sent
        within ``CONTACTS_INTERVAL_S`` and have not changed.
        """
        if self._is_unchanged(heartbeat, now_s):
            return None
        self._last_sent = heartbeat
        self._last_sent_s = now_s
        if self._are_contacts_unchanged(heartbeat, now_s):
            return dataclasses.replace(heartbeat, contact_hosts=())
        self._last_contact_hosts = heartbeat.contact_hosts
        self._last_contacts_sent_s = now_s
        return heartbeat

    def _is_unchanged(self, heartbeat, now_s):
        if self._last_sent is None:
            return False
        if now_s - self._last_sent_s >= conf.UNCHANGED_HEARTBEAT_INTERVAL_S:
            return False
        return _remove_volatile_fields(heartbeat) == _remove_volatile_fields(
            self._last_sent
        )

    def _are_contacts_unchanged(self, heartbeat, now_s):
        return (
            heartbeat.contact_hosts == self._last_contact_hosts
            and now_s - self._last_contacts_sent_s < conf.CONTACTS_INTERVAL_S
        )


def _remove_volatile_fields(heartbeat):
    """Return a heartbeat without the fields that change each time."""
    leaving = tuple(
        dataclasses.replace(target, age_s=0.0)
        for target in heartbeat.leaving_targets
    )
    rate_reports = tuple(
        dataclasses.replace(report, age_s=0.0, demand_per_s=0.0)
        for report in heartbeat.rate_reports
    )
    return dataclasses.replace(
        heartbeat,
        sequence=0,
        leaving_targets=leaving,
        rate_reports=rate_reports,
    )


def choose_interval_s(*, peer_count):
    """Return the seconds between two heartbeats.

    ``peer_count`` is the number of other entries. The interval grows with it,
    because every entry sends to every other.
    """
    return max(
        conf.HEARTBEAT_INTERVAL_S,
        min(
            peer_count * conf.HEARTBEAT_PER_PEER_S,
            conf.HEARTBEAT_SAFE_INTERVAL_S,
        ),
        peer_count * conf.HEARTBEAT_MIN_PER_PEER_S,
    )


def choose_batch_interval_s(*, peer_count):
    """Return the seconds between two heartbeats that are sent in batches.

    It is shorter than ``choose_interval_s``, so that reports are no older on
    average although they wait at a collector.
    """
    window_s = batches.choose_window_s(peer_count=peer_count)
    return (
        choose_interval_s(peer_count=peer_count)
        - conf.BATCH_INTERVAL_WINDOWS * window_s
    )
