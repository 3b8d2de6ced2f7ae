"""Judge a target by what its tries have shown."""

from savoryyoke.placement import conf
from savoryyoke.placement import models

_Result = models.TryResult
_FAILURES = frozenset(
    {_Result.FAILED, _Result.BROKEN, _Result.TIMED_OUT, _Result.REFUSED}
)


class TargetHealth:
    """Own the evidence on one incarnation of a target."""

    def __init__(self, *, now_s):
        self._failure_rate = 0.0
        self._noted_s = now_s
        self._latency_s = None
        self._unreachable_in_row = 0
        self._avoid_until_s = now_s

    @property
    def latency_s(self):
        """Return the moving average of latencies, or None before any."""
        return self._latency_s

    def failure_rate(self, *, now_s):
        """Return the share of failures, fading with time."""
        passed_s = max(now_s - self._noted_s, 0.0)
        faded = 0.5 ** (passed_s / conf.FAILURE_HALF_LIFE_S)
        return self._failure_rate * faded

    def is_avoided(self, *, now_s):
        """Return whether the target gets nothing for the moment."""
        return now_s < self._avoid_until_s

    def note(self, result, *, latency_s, now_s):
        """Take in the end of a try."""
        # A target that asks for a pause is busy, not faulty.
        if result in (_Result.WITHDRAWN, _Result.PAUSED):
            return
        rate = self.failure_rate(now_s=now_s)
        failed = 1.0 if result in _FAILURES else 0.0
        self._failure_rate = rate + conf.RESULT_WEIGHT * (failed - rate)
        self._noted_s = now_s
        if latency_s is not None:
            self._note_latency(latency_s)
        self._avoid(result, now_s)

    def _note_latency(self, latency_s):
        if self._latency_s is None:
            self._latency_s = latency_s
            return
        change_s = latency_s - self._latency_s
        self._latency_s += conf.RESULT_WEIGHT * change_s

    def _avoid(self, result, now_s):
        if result is _Result.UNREACHABLE:
            self._unreachable_in_row += 1
            self._avoid_for(self._unreachable_pause_s(), now_s)
            return
        self._unreachable_in_row = 0
        if result is _Result.MISDIRECTED:
            self._avoid_for(conf.MISDIRECTED_S, now_s)
        elif result is _Result.REFUSED:
            self._avoid_for(conf.BUSY_S, now_s)

    def _unreachable_pause_s(self):
        doublings = min(self._unreachable_in_row - 1, 8)
        pause_s = conf.UNREACHABLE_FIRST_S * 2**doublings
        return min(pause_s, conf.UNREACHABLE_LONGEST_S)

    def _avoid_for(self, pause_s, now_s):
        self._avoid_until_s = max(self._avoid_until_s, now_s + pause_s)
