"""Choose which peers a heartbeat is sent to, and which pass it on.

In a large fleet, a heartbeat goes to one peer in each other data centre, which
passes it on in its own. The traffic between data centres then grows with the
number of entries, not with its square. The relay changes with each heartbeat,
so that a peer that is down delays one of many.
"""

import collections

from savoryyoke.peers import conf


def uses_relays(*, entry_count):
    """Return whether a fleet of ``entry_count`` entries relays heartbeats."""
    return entry_count > conf.DIRECT_FLEET_ENTRIES


def choose_recipients(
    contact_hosts, *, live_heartbeats, own_data_centre, sequence
):
    """Return the contact hosts that get a heartbeat directly.

    ``live_heartbeats`` are the newest ones of the peers that are alive, and
    ``sequence`` is the number of the heartbeat to send. Peers that don't relay
    and contacts that are not known to be alive get it directly.
    """
    relay_hosts_by_data_centre = collections.defaultdict(list)
    for heartbeat in live_heartbeats:
        if (
            heartbeat.can_relay
            and heartbeat.data_centre != own_data_centre
            and heartbeat.sender_host in contact_hosts
        ):
            relay_hosts_by_data_centre[heartbeat.data_centre].append(
                heartbeat.sender_host
            )
    skipped_hosts = set()
    for hosts in relay_hosts_by_data_centre.values():
        relay_host = sorted(hosts)[sequence % len(hosts)]
        skipped_hosts.update(set(hosts) - {relay_host})
    return [host for host in contact_hosts if host not in skipped_hosts]


def needs_forward(heartbeat, *, source_host, own_data_centre):
    """Return whether this entry passes on a received heartbeat.

    It does if the heartbeat came from another data centre, asks for it, and
    ``source_host`` shows that it has not been passed on yet.
    """
    return (
        heartbeat.wants_relay
        and heartbeat.data_centre != own_data_centre
        and heartbeat.sender_host == source_host
    )


def choose_forward_hosts(
    heartbeat, *, source_host, live_heartbeats, own_data_centre
):
    """Return the hosts to which a received heartbeat is passed on.

    These are the live peers in the own data centre, or none unless
    ``needs_forward``.
    """
    if not needs_forward(
        heartbeat, source_host=source_host, own_data_centre=own_data_centre
    ):
        return []
    return [
        peer.sender_host
        for peer in live_heartbeats
        if peer.data_centre == own_data_centre
    ]
