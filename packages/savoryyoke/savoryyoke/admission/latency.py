"""Compare recent latencies with a target's own baseline."""


class LatencyBaseline:
    """Track a slow baseline and a fast average of one latency."""

    def __init__(self, *, policy):
        self._policy = policy
        self.restart()

    @property
    def ratio(self):
        """Return recent latency divided by the baseline, 1.0 if unknown."""
        if self._recent_s is None:
            return 1.0
        return self._recent_s / self._baseline_s

    def observe(self, *, sample_s):
        """Take in one latency in seconds."""
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

    def forget_recent(self):
        """Drop the recent average and keep the baseline."""
        self._recent_s = None

    def restart(self):
        """Drop the baseline too, as a cold back end has one of its own."""
        self._baseline_s = None
        self._recent_s = None
        self._samples = 0

    def _baseline_smoothing(self, sample_s):
        # The baseline follows a back end that warms up faster than one
        # that slows down. A lasting slowdown is accepted in the end, or
        # one change of workload would hold the limit down for good.
        if sample_s < self._baseline_s:
            return 2 * self._policy.baseline_smoothing
        if self.ratio > self._policy.healthy_ratio:
            return self._policy.degraded_baseline_smoothing
        return self._policy.baseline_smoothing
