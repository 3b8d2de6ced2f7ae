"""Decide how soon published values are read again."""

from savoryyoke.published import conf


def find_pause_s(*, entries, is_settled):
    """Return the seconds between a change and the next reading.

    Answers large fleets, in which every change makes every entry call the
    platform. Changes of the pause are read together. While a target is out of
    service nothing is put off: callers may be waiting for it.
    """
    if entries <= conf.SMALL_FLEET_ENTRIES or not is_settled:
        return 0.0
    return min(entries * conf.PAUSE_PER_ENTRY_S, conf.PAUSE_MOST_S)
