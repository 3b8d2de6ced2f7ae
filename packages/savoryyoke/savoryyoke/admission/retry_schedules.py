"""Spread the times at which refused calls are retried."""

from savoryyoke.admission import conf

_MIN_CLEANUP_SIZE = 64


class RetrySchedule:
    """Assign a separate retry time to each refused call of a team.

    Otherwise all calls that were refused in a burst would be retried at the
    same time. Consecutive retry times of a team differ by the time that
    the team needs for one call.
    """

    def __init__(self):
        self._last_retry_s_by_team = {}
        self._cleanup_size = _MIN_CLEANUP_SIZE

    def retry_after_s(self, *, team, wait_s, service_s, now_s):
        """Return the seconds after which a refused call should be retried.

        ``wait_s`` is the expected time until there is capacity, and
        ``service_s`` the time that the team's share of the capacity needs
        for one call of this size.
        """
        self._drop_past_times(now_s)
        earliest_s = now_s + (wait_s or conf.DEFAULT_RETRY_AFTER_S)
        last_retry_s = self._last_retry_s_by_team.get(team, 0.0)
        retry_s = max(earliest_s, last_retry_s + service_s)
        retry_s = min(retry_s, now_s + conf.LONGEST_RETRY_AFTER_S)
        self._last_retry_s_by_team[team] = retry_s
        return retry_s - now_s

    def _drop_past_times(self, now_s):
        if len(self._last_retry_s_by_team) < self._cleanup_size:
            return
        self._last_retry_s_by_team = {
            team: last_retry_s
            for team, last_retry_s in self._last_retry_s_by_team.items()
            if last_retry_s > now_s
        }
        remaining = len(self._last_retry_s_by_team)
        self._cleanup_size = max(_MIN_CLEANUP_SIZE, 2 * remaining)
