"""Estimate the load that the next map will meet."""

import collections
import dataclasses
import math

import numpy

from savoryyoke.groups.planning import conf


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class _Forecast:
    """Keep what each mean was when a report came."""

    made_s: float
    means: tuple


class LoadEstimator:
    """Average reports, over the time that has predicted best of late.

    Keeps exponential means with several time constants, and judges each by
    how well it predicted the reports that came ``lead_s`` later. A steady
    drift favours short means, experts that keep trading places long ones.
    Two reports in a row that are further off than is usual replace all means.
    """

    def __init__(
        self,
        *,
        time_constants_s=conf.LOAD_TIME_CONSTANTS_S,
        lead_s=conf.FORECAST_LEAD_S,
    ):
        """Start without any report."""
        self._time_constants_s = time_constants_s
        self._lead_s = lead_s
        self._means = ()
        self._errors = [0.0] * len(time_constants_s)
        self._judged = 0
        self._former = None
        self._forecasts = collections.deque()
        self._reported_s = None

    @property
    def loads(self):
        """Return the estimate, of the shape of the reports."""
        best = min(range(len(self._errors)), key=self._errors.__getitem__)
        return self._means[best]

    def add(self, loads, *, now_s):
        """Take in a report."""
        if self._reported_s is None:
            self._means = (loads,) * len(self._time_constants_s)
        elif self._has_jumped(loads):
            mean = (loads + self._former) / 2
            self._means = (mean,) * len(self._time_constants_s)
            self._forecasts.clear()
        else:
            elapsed_s = now_s - self._reported_s
            self._judge(loads, elapsed_s, now_s)
            self._means = tuple(
                mean + _find_weight(elapsed_s, constant_s) * (loads - mean)
                for mean, constant_s in zip(
                    self._means, self._time_constants_s
                )
            )
        self._reported_s = now_s
        self._former = loads
        self._forecasts.append(_Forecast(made_s=now_s, means=self._means))

    def _has_jumped(self, loads):
        if self._judged < conf.JUMP_AFTER_REPORTS:
            return False
        usual = min(self._errors)
        off = min(
            _find_distance(loads, self.loads),
            _find_distance(self._former, self.loads),
        )
        apart = _find_distance(loads, self._former)
        return off > conf.JUMP_FACTOR * max(usual, apart)

    def _judge(self, loads, elapsed_s, now_s):
        forecast = None
        while self._forecasts:
            if self._forecasts[0].made_s > now_s - self._lead_s:
                break
            forecast = self._forecasts.popleft()
        if forecast is None:
            return
        self._judged += 1
        weight = _find_weight(elapsed_s, conf.ERROR_TIME_CONSTANT_S)
        weight = max(weight, 1 / self._judged)
        for place, mean in enumerate(forecast.means):
            error = _find_distance(loads, mean) - self._errors[place]
            self._errors[place] += weight * error


def _find_weight(elapsed_s, constant_s):
    return 1 - math.exp(-elapsed_s / constant_s)


def _find_distance(first, second):
    """Return a distance in which hot experts count most."""
    return float(numpy.square(first - second).sum())
