"""Estimate the service times of a target."""

from savoryyoke.admission import conf


class ServiceEstimate:
    """Average the observed service time per unit of cost."""

    def __init__(self):
        self._mean_service_time_s = None
        self._mean_cost = None

    @property
    def has_samples(self):
        """Return whether any service time was observed."""
        return self._mean_cost is not None

    @property
    def mean_cost(self):
        """Return the mean cost of a call, or 1.0 without samples."""
        return self._mean_cost if self.has_samples else 1.0

    def observe(self, *, cost, service_time_s):
        """Add the cost and service time of a completed call."""
        if not self.has_samples:
            self._mean_service_time_s = service_time_s
            self._mean_cost = cost
        smoothing = conf.SERVICE_SMOOTHING
        self._mean_service_time_s += smoothing * (
            service_time_s - self._mean_service_time_s
        )
        self._mean_cost += smoothing * (cost - self._mean_cost)

    def service_s(self, *, cost):
        """Return the expected seconds for ``cost``, or 0.0 without samples."""
        return (
            cost * self._mean_service_time_s / self._mean_cost
            if self.has_samples
            else 0.0
        )

    def drain_s(self, *, cost, concurrency):
        """Return the expected seconds until calls of ``cost`` have started."""
        return self.service_s(cost=cost) / concurrency
