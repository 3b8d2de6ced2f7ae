"""Choose when refused callers return."""

from savoryyoke.scarcity import conf


class ReturnSchedule:
    """Own the return times that have been given to refused callers.

    Callers that are refused together return one after the other, at a part of
    the rate at which this entry places requests, and more urgent ones sooner.
    ``random_fraction`` is a function that returns a random number from 0 to 1.
    """

    def __init__(self, *, random_fraction):
        self._random_fraction = random_fraction
        self._last_return_s_by_level = {}

    def choose_retry_after_s(self, *, level, longest_s, placed_per_s, now_s):
        """Return the seconds until a refused caller should return.

        ``longest_s`` is the longest time that the caller honours,
        ``placed_per_s`` the rate at which this entry places requests.
        """
        rate_per_s = max(
            conf.RETURN_RATE_SHARE * placed_per_s,
            conf.LOWEST_RETURN_RATE_PER_S,
        )
        # The levels share the rate.
        distance_s = max(len(self._last_return_s_by_level), 1) / rate_per_s
        longest_s = min(longest_s, conf.RETURN_MAX_S)
        # Callers with little time left return within its second half.
        earliest_s = now_s + min(
            conf.RETURN_DELAY_PER_LEVEL_S * (1 + level), longest_s / 2
        )
        last_s = self._last_return_s_by_level.get(level, earliest_s)
        return_s = max(earliest_s, last_s + distance_s)
        latest_s = now_s + longest_s
        if return_s > latest_s:
            # Nobody can be told to return later, so the rest is spread over
            # the whole time.
            return_s = earliest_s + self._random_fraction() * (
                latest_s - earliest_s
            )
            return max(return_s - now_s, 0.0)
        self._last_return_s_by_level[level] = return_s
        spread_s = conf.RETURN_SPREAD_SHARE * distance_s
        return_s += self._random_fraction() * spread_s
        return max(min(return_s, latest_s) - now_s, 0.0)
