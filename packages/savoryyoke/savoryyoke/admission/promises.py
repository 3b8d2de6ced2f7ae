"""Spread the times at which refused calls are told to come back."""

from savoryyoke.admission import conf

_LEAST_SWEEP = 64


class RetrySchedule:
    """Give each refused call of a team its own place after the queue.

    Calls refused in one burst would otherwise all return at once. The
    place advances by the time the team needs for one call.
    """

    def __init__(self):
        self._promised_until_s_by_team = {}
        self._sweep_at = _LEAST_SWEEP

    def retry_after_s(self, *, team, wait_s, service_s, now_s):
        """Return the seconds after which a refused call should return.

        ``wait_s`` is when room is expected, ``service_s`` the time that
        the team's share needs for one call of this size.
        """
        self._forget_past(now_s)
        earliest_s = now_s + (wait_s or conf.DEFAULT_RETRY_AFTER_S)
        promised_s = self._promised_until_s_by_team.get(team, 0.0)
        place_s = max(earliest_s, promised_s + service_s)
        place_s = min(place_s, now_s + conf.LONGEST_RETRY_AFTER_S)
        self._promised_until_s_by_team[team] = place_s
        return place_s - now_s

    def _forget_past(self, now_s):
        if len(self._promised_until_s_by_team) < self._sweep_at:
            return
        self._promised_until_s_by_team = {
            team: until_s
            for team, until_s in self._promised_until_s_by_team.items()
            if until_s > now_s
        }
        remaining = len(self._promised_until_s_by_team)
        self._sweep_at = max(_LEAST_SWEEP, 2 * remaining)
