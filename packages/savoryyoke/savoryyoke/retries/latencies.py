"""Estimate quantiles of recent latencies in constant memory."""

import itertools
import math

from savoryyoke.retries import conf


class LatencyQuantiles:
    """Count latencies in a logarithmic histogram.

    All counts are halved from time to time, so that recent latencies weigh
    more. An estimate exceeds the true quantile by at most the ratio of two
    neighbouring bucket bounds.
    """

    def __init__(self):
        self._counts = [0] * conf.LATENCY_BUCKET_COUNT
        self.samples = 0

    def observe(self, *, latency_s):
        """Add one latency in seconds."""
        self._counts[self._index(latency_s)] += 1
        self.samples += 1
        if self.samples >= 2 * conf.LATENCY_WINDOW_SAMPLES:
            self._counts = [count // 2 for count in self._counts]
            self.samples = sum(self._counts)

    def quantile_s(self, share):
        """Return the quantile in seconds; ``share`` is from 0.0 to 1.0."""
        target_count = share * self.samples
        for index, cumulative_count in enumerate(
            itertools.accumulate(self._counts)
        ):
            if cumulative_count >= target_count:
                break
        doublings = (index + 1) / conf.LATENCY_BUCKETS_PER_DOUBLING
        return conf.SHORTEST_LATENCY_S * 2**doublings

    def _index(self, latency_s):
        ratio = max(latency_s / conf.SHORTEST_LATENCY_S, 1.0)
        index = int(math.log2(ratio) * conf.LATENCY_BUCKETS_PER_DOUBLING)
        return min(index, conf.LATENCY_BUCKET_COUNT - 1)
