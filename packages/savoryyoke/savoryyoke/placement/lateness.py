"""Estimate how long callers have already waited for a request."""


class SpentTimeEstimator:
    """Estimate the time that a caller has spent on earlier attempts.

    All callers of a route have the same total timeout. A caller with less
    time left than the longest time seen on the route has spent the difference
    on earlier attempts.
    """

    def __init__(self):
        self._longest_s_by_route = {}

    def record(self, route_name, *, time_left_s):
        """Record a request and return the seconds spent before it.

        Return 0 if the caller states no time (``time_left_s`` is None).
        """
        if time_left_s is None:
            return 0.0
        longest_s = max(
            self._longest_s_by_route.get(route_name, 0.0), time_left_s
        )
        self._longest_s_by_route[route_name] = longest_s
        return longest_s - time_left_s
