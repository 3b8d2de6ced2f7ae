"""Choose the retry time (Retry-After) of refused callers."""

from savoryyoke.placement import conf


def choose_retry_after_s(*, time_left_s, random_fraction):
    """Return the seconds after which a refused caller should retry.

    The time is at most ``RETRY_AFTER_MAX_SHARE`` of the caller's time left,
    because callers don't honour more. ``random_fraction`` is a function that
    returns a random number from 0 to 1; it spreads out callers that were
    refused together.
    """
    longest_s = min(
        time_left_s * conf.RETRY_AFTER_MAX_SHARE, conf.RETRY_AFTER_MAX_S
    )
    return _spread(longest_s, conf.RETRY_AFTER_MIN_SHARE, random_fraction)


def choose_outage_retry_after_s(*, time_left_s, random_fraction):
    """Return the seconds to the retry while no target is in service."""
    longest_s = min(
        time_left_s * conf.RETRY_AFTER_MAX_SHARE, conf.OUTAGE_RETRY_AFTER_MAX_S
    )
    return _spread(
        longest_s, conf.OUTAGE_RETRY_AFTER_MIN_SHARE, random_fraction
    )


def _spread(longest_s, min_share, random_fraction):
    share = min_share + (1 - min_share) * random_fraction()
    return max(longest_s, 0.0) * share
