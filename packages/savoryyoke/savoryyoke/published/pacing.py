"""Choose when published values are read again."""

from savoryyoke.published import conf


class UnsettledTargets:
    """Own since when targets are published as out of service or draining.

    Other writers may publish some that never change, so each one counts for
    ``UNSETTLED_MAX_S`` only.
    """

    def __init__(self):
        self._since_s_by_key = {}

    def replace(self, keys, *, now_s):
        """Set which targets are out of service or draining.

        The key of a target changes with its published state.
        """
        self._since_s_by_key = {
            key: self._since_s_by_key.get(key, now_s) for key in keys
        }

    def is_settled(self, *, now_s):
        """Return whether no target is expected to change soon."""
        return all(
            now_s - since_s >= conf.UNSETTLED_MAX_S
            for since_s in self._since_s_by_key.values()
        )


def choose_read_pause_s(*, entry_count, is_settled):
    """Return the pause in seconds after a change, before the next read.

    In a large fleet of ``entry_count`` entries, every change makes every entry
    call the platform. A pause combines the changes that happen during it into
    one read. ``is_settled`` is that of ``UnsettledTargets``; otherwise the
    pause is shorter, because callers may be waiting for a target.
    """
    if entry_count <= conf.SMALL_FLEET_ENTRIES:
        return 0.0
    if not is_settled:
        return min(
            entry_count * conf.URGENT_PAUSE_PER_ENTRY_S,
            conf.URGENT_PAUSE_MAX_S,
        )
    return min(entry_count * conf.PAUSE_PER_ENTRY_S, conf.PAUSE_MAX_S)


def choose_long_poll_s(*, peer_count, random_fraction):
    """Return the duration of a long poll for changes, in seconds.

    ``peer_count`` is the number of other entries whose heartbeats arrive. In a
    large fleet, most calls to the platform are renewed polls, so the duration
    grows with the number of peers. An entry without peers has to detect a
    silent connection by itself, so its polls are short. ``random_fraction`` is
    a function that returns a random number from 0 to 1.
    """
    wait_s = min(peer_count * conf.LONG_POLL_PER_PEER_S, conf.LONG_POLL_MAX_S)
    return max(
        wait_s * (1 - conf.LONG_POLL_SPREAD_SHARE * random_fraction()),
        conf.LONG_POLL_S,
    )
