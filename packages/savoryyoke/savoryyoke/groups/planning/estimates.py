"""Estimate the loads for which the next map is planned."""

import collections
import dataclasses
import math

import numpy

from savoryyoke.groups.planning import conf


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class _Forecast:
    """Hold the value of each mean after a report."""

    reported_s: float
    means: tuple


class LoadEstimator:
    """Average the reported loads over the most suitable period.

    The estimator maintains exponential means with several time constants and
    selects the one that has recently been the best prediction of the reports
    ``lead_s`` later. Short time constants suit a steady drift, and long ones
    suit loads that alternate between experts. If two successive reports
    deviate far more than usual, their mean replaces all means.
    """

    def __init__(
        self,
        *,
        time_constants_s=conf.LOAD_TIME_CONSTANTS_S,
        lead_s=conf.FORECAST_LEAD_S,
    ):
        """Start without reports."""
        self._time_constants_s = time_constants_s
        self._lead_s = lead_s
        self._means = ()
        self._errors = [0.0] * len(time_constants_s)
        self._evaluated_forecasts = 0
        self._previous_loads = None
        self._forecasts = collections.deque()
        self._reported_s = None

    @property
    def loads(self):
        """Return the estimated loads, in the shape of the reports."""
        best_index = min(
            range(len(self._errors)), key=self._errors.__getitem__
        )
        return self._means[best_index]

    def add(self, loads, *, now_s):
        """Add a report: an array of tokens per step."""
        if self._reported_s is None:
            self._means = (loads,) * len(self._time_constants_s)
        elif self._has_jumped(loads):
            mean = (loads + self._previous_loads) / 2
            self._means = (mean,) * len(self._time_constants_s)
            self._forecasts.clear()
        else:
            elapsed_s = now_s - self._reported_s
            self._evaluate_forecast(loads, elapsed_s, now_s)
            self._means = tuple(
                mean + _find_weight(elapsed_s, constant_s) * (loads - mean)
                for mean, constant_s in zip(
                    self._means, self._time_constants_s
                )
            )
        self._reported_s = now_s
        self._previous_loads = loads
        self._forecasts.append(_Forecast(reported_s=now_s, means=self._means))

    def _has_jumped(self, loads):
        if self._evaluated_forecasts < conf.JUMP_PREDICTIONS_MIN:
            return False
        usual_error = min(self._errors)
        error = min(
            _find_distance(loads, self.loads),
            _find_distance(self._previous_loads, self.loads),
        )
        change = _find_distance(loads, self._previous_loads)
        return error > conf.JUMP_FACTOR * max(usual_error, change)

    def _evaluate_forecast(self, loads, elapsed_s, now_s):
        forecast = None
        while self._forecasts:
            if self._forecasts[0].reported_s > now_s - self._lead_s:
                break
            forecast = self._forecasts.popleft()
        if forecast is None:
            return
        self._evaluated_forecasts += 1
        weight = _find_weight(elapsed_s, conf.ERROR_TIME_CONSTANT_S)
        weight = max(weight, 1 / self._evaluated_forecasts)
        for index, mean in enumerate(forecast.means):
            error_change = _find_distance(loads, mean) - self._errors[index]
            self._errors[index] += weight * error_change


def _find_weight(elapsed_s, constant_s):
    """Return the weight of a new value in an exponential mean."""
    return 1 - math.exp(-elapsed_s / constant_s)


def _find_distance(loads, other_loads):
    """Return the sum of squares, in which large deviations dominate."""
    return float(numpy.square(loads - other_loads).sum())
