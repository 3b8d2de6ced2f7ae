"""Estimate service times and the rate at which a target works."""

from savoryyoke.admission import conf


class ServiceEstimate:
    """Track observed service time per unit of cost."""

    def __init__(self):
        self._time_s = None
        self._cost = None

    @property
    def known(self):
        """Tell whether any service time was observed."""
        return self._cost is not None

    @property
    def mean_cost(self):
        """Return the mean cost of a call, 1.0 if unknown."""
        return self._cost if self.known else 1.0

    def observe(self, *, cost, service_time_s):
        """Take in one completion."""
        if not self.known:
            self._time_s = service_time_s
            self._cost = cost
        smoothing = conf.SERVICE_SMOOTHING
        self._time_s += smoothing * (service_time_s - self._time_s)
        self._cost += smoothing * (cost - self._cost)

    def service_s(self, *, cost):
        """Return the expected time to serve ``cost``, 0.0 if unknown."""
        return cost * self._time_s / self._cost if self.known else 0.0

    def drain_s(self, *, cost, concurrency):
        """Return the expected time until ``cost`` has been started."""
        return self.service_s(cost=cost) / concurrency
