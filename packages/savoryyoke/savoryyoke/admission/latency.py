"""Compare recent latencies with a target's own baseline."""


class LatencyBaseline:
    """Track two moving averages of one latency, a slow and a fast one.

    The slow average is the baseline with which the fast one is compared.
    """

    def __init__(self, *, policy):
        self._policy = policy
        self.reset()

    @property
    def ratio(self):
        """Return recent latency over the baseline, or 1.0 if unknown."""
        if self._recent_s is None:
            return 1.0
        return self._recent_s / self._baseline_s

    def observe(self, *, sample_s):
        """Add one latency in seconds; zero and less are ignored."""
        if sample_s <= 0:
            return
        if self._baseline_s is None:
            self._baseline_s = sample_s
        if self._recent_s is None:
            self._recent_s = sample_s
        smoothing = self._policy.recent_smoothing
        self._recent_s += smoothing * (sample_s - self._recent_s)
        self._samples += 1
        smoothing = max(self._baseline_smoothing(sample_s), 1 / self._samples)
        self._baseline_s += smoothing * (sample_s - self._baseline_s)

    def reset_recent(self):
        """Reset the recent average and keep the baseline."""
        self._recent_s = None

    def reset(self):
        """Reset both averages, as a cold back end has another baseline."""
        self._baseline_s = None
        self._recent_s = None
        self._samples = 0

    def _baseline_smoothing(self, sample_s):
        # The baseline adapts faster to falling latencies, as of a back end
        # that warms up, than to rising ones. It still adapts to a lasting
        # slowdown; otherwise a change of workload would keep the limit low
        # permanently.
        if sample_s < self._baseline_s:
            return 2 * self._policy.baseline_smoothing
        if self.ratio > self._policy.healthy_ratio:
            return self._policy.degraded_baseline_smoothing
        return self._policy.baseline_smoothing
