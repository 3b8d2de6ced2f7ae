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
