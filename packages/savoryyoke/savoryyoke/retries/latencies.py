"""Estimate quantiles of recent latencies in constant memory."""

import itertools
import math

from savoryyoke.retries import conf


class LatencyQuantiles:
    """Count latencies in buckets of equal ratio; old ones fade.

    An estimate exceeds the true quantile by at most one bucket's ratio.
    """

    def __init__(self):
        self._counts = [0] * conf.LATENCY_BUCKET_COUNT
        self.samples = 0

    def observe(self, *, latency_s):
        """Take in one latency in seconds."""
        self._counts[self._index(latency_s)] += 1
        self.samples += 1
        if self.samples >= 2 * conf.LATENCY_WINDOW:
            self._counts = [count // 2 for count in self._counts]
            self.samples = sum(self._counts)

    def quantile_s(self, share):
        """Return the latency that a share of the samples stay under."""
        wanted = share * self.samples
        for index, below in enumerate(itertools.accumulate(self._counts)):
            if below >= wanted:
                break
        doublings = (index + 1) / conf.LATENCY_BUCKETS_PER_DOUBLING
        return conf.SHORTEST_LATENCY_S * 2**doublings

    def _index(self, latency_s):
        ratio = max(latency_s / conf.SHORTEST_LATENCY_S, 1.0)
        index = int(math.log2(ratio) * conf.LATENCY_BUCKETS_PER_DOUBLING)
        return min(index, conf.LATENCY_BUCKET_COUNT - 1)
