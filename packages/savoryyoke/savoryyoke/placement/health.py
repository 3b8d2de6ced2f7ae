"""Estimate the health of a target from the results of its tries."""

from savoryyoke.placement import conf
from savoryyoke.placement import models

_Result = models.TryResult
_FAILURE_RESULTS = frozenset(
    {_Result.FAILED, _Result.BROKEN, _Result.TIMED_OUT, _Result.REFUSED}
)
_UNREACHED_RESULTS = frozenset({_Result.UNREACHABLE, _Result.MISDIRECTED})


class TargetHealth:
    """Own the failure rate and latency of one incarnation of a target."""

    def __init__(self, *, now_s):
        self._failure_rate = 0.0
        self._updated_s = now_s
        self._latency_s = None
        self._consecutive_unreachable = 0
        self._was_reached = True
        self._avoid_until_s = now_s

    @property
    def latency_s(self):
        """Return the average latency of answers; None before the first."""
        return self._latency_s

    @property
    def was_reached(self):
        """Return whether the last try reached the target, if there was one.

        Otherwise the target may not exist, whatever is published.
        """
        return self._was_reached

    def failure_rate(self, *, now_s):
        """Return the share of failed tries, from 0 to 1; it decays."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        decay = 0.5 ** (elapsed_s / conf.FAILURE_HALF_LIFE_S)
        return self._failure_rate * decay

    def is_avoided(self, *, now_s):
        """Return whether the target gets no requests at present."""
        return now_s < self._avoid_until_s

    def record(self, result, *, latency_s, now_s):
        """Record the result of a try.

        ``latency_s`` is the time to the head of its answer, or None.
        """
        if result is not _Result.WITHDRAWN:
            self._was_reached = result not in _UNREACHED_RESULTS
        # A target that requests a pause is busy, not faulty.
        if result in (_Result.WITHDRAWN, _Result.PAUSED):
            return
        rate = self.failure_rate(now_s=now_s)
        failure = 1.0 if result in _FAILURE_RESULTS else 0.0
        self._failure_rate = rate + conf.RESULT_WEIGHT * (failure - rate)
        self._updated_s = now_s
        # Failing quickly makes a target no faster.
        if latency_s is not None and result is _Result.ANSWERED:
            self._record_latency(latency_s)
        self._avoid_after(result, now_s)

    def _record_latency(self, latency_s):
        if self._latency_s is None:
            self._latency_s = latency_s
            return
        change_s = latency_s - self._latency_s
        self._latency_s += conf.RESULT_WEIGHT * change_s

    def _avoid_after(self, result, now_s):
        if result is _Result.UNREACHABLE:
            self._consecutive_unreachable += 1
            self._avoid_for(self._unreachable_pause_s(), now_s)
            return
        self._consecutive_unreachable = 0
        if result is _Result.MISDIRECTED:
            self._avoid_for(conf.MISDIRECTED_AVOIDANCE_S, now_s)
        elif result is _Result.REFUSED:
            self._avoid_for(conf.REFUSED_AVOIDANCE_S, now_s)

    def _unreachable_pause_s(self):
        doublings = min(self._consecutive_unreachable - 1, 8)
        pause_s = conf.UNREACHABLE_AVOIDANCE_MIN_S * 2**doublings
        return min(pause_s, conf.UNREACHABLE_AVOIDANCE_MAX_S)

    def _avoid_for(self, pause_s, now_s):
        self._avoid_until_s = max(self._avoid_until_s, now_s + pause_s)
