"""Choose when a refused caller should return."""

from savoryyoke.placement import conf


def choose_return_s(*, time_left_s, draw):
    """Return the time to wait, in seconds, within what callers honour.

    ``draw`` returns a number from 0 to 1; it spreads callers out that were
    refused together.
    """
    longest_s = min(
        time_left_s * conf.RETURN_SHARE_LIMIT, conf.RETURN_LATEST_S
    )
    return _spread(longest_s, conf.RETURN_EARLIEST_SHARE, draw)


def choose_return_after_outage_s(*, time_left_s, draw):
    """Return the time to wait while no target is in service, in seconds."""
    longest_s = min(
        time_left_s * conf.RETURN_SHARE_LIMIT, conf.OUTAGE_LATEST_S
    )
    return _spread(longest_s, conf.OUTAGE_EARLIEST_SHARE, draw)


def _spread(longest_s, earliest_share, draw):
    share = earliest_share + (1 - earliest_share) * draw()
    return max(longest_s, 0.0) * share
