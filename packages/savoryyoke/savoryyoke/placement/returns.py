"""Choose the retry time (Retry-After) of refused callers."""

from savoryyoke.placement import conf


def choose_return_s(*, time_left_s, draw):
    """Return the seconds after which a refused caller should retry.

    The time is at most ``RETURN_SHARE_LIMIT`` of the caller's time left,
    because callers don't honour more. ``draw`` returns a random number from 0
    to 1; it spreads out callers that were refused together.
    """
    longest_s = min(
        time_left_s * conf.RETURN_SHARE_LIMIT, conf.RETURN_LATEST_S
    )
    return _spread(longest_s, conf.RETURN_EARLIEST_SHARE, draw)


def choose_return_after_outage_s(*, time_left_s, draw):
    """Return the seconds to the retry while no target is in service."""
    longest_s = min(
        time_left_s * conf.RETURN_SHARE_LIMIT, conf.OUTAGE_LATEST_S
    )
    return _spread(longest_s, conf.OUTAGE_EARLIEST_SHARE, draw)


def _spread(longest_s, earliest_share, draw):
    share = earliest_share + (1 - earliest_share) * draw()
    return max(longest_s, 0.0) * share
