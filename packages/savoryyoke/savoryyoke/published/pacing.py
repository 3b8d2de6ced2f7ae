"""Decide how soon published values are read again."""

from savoryyoke.published import conf


def find_pause_s(*, entries, is_settled):
    """Return the seconds between a change and the next reading.

    Answers large fleets, in which every change makes every entry call the
    platform. Changes of the pause are read together. While a target is out of
    service they are put off for less: callers may be waiting for it.
    """
    if entries <= conf.SMALL_FLEET_ENTRIES:
        return 0.0
    if not is_settled:
        return min(
            entries * conf.URGENT_PAUSE_PER_ENTRY_S, conf.URGENT_PAUSE_MOST_S
        )
    return min(entries * conf.PAUSE_PER_ENTRY_S, conf.PAUSE_MOST_S)


def find_wait_s(*, peers, draw):
    """Return how long a reading waits for a change, in seconds.

    ``peers`` counts the entries that are heard now. Answers large fleets,
    which spend most calls to the platform on renewed waiting reads. An entry
    that hears nobody finds a silent connection by itself.
    """
    wait_s = min(peers * conf.FLEET_WAIT_PER_PEER_S, conf.WAIT_MOST_S)
    return max(wait_s * (1 - conf.WAIT_SPREAD * draw()), conf.WAIT_S)
