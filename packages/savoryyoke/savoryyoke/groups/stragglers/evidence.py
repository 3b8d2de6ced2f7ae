"""Explain each rank's step time by its load."""

import dataclasses
import math

import numpy

from savoryyoke.groups.stragglers import conf


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Estimate:
    """Hold each rank's slowdown and how certain it is.

    ``factors`` is a rank's time over what the other ranks would take for its
    load, 1.0 where too little is known. ``errors`` holds standard errors.
    """

    factors: numpy.ndarray
    errors: numpy.ndarray

    @property
    def certain(self):
        """Return the ranks whose factor differs from 1 beyond doubt."""
        distance = numpy.abs(self.factors - 1)
        return distance > conf.STANDARD_ERRORS_MIN * self.errors


class RankTimes:
    """Keep decayed sums of each rank's loads and times.

    A hot expert makes its rank late along the line of time over load that
    all ranks share; a slow rank lies above the line at any load.
    """

    def __init__(self, *, ranks):
        """Start without evidence."""
        # Rows: count, load, time, load squared, load by time, time squared.
        self._sums = numpy.zeros((6, ranks))
        self._reported_s = None

    def add(self, loads, times_s, *, now_s):
        """Take in one report; a time that is NaN is left out."""
        if self._reported_s is not None:
            elapsed_s = now_s - self._reported_s
            self._sums *= math.exp(-elapsed_s / conf.EVIDENCE_TIME_CONSTANT_S)
        self._reported_s = now_s
        known = numpy.isfinite(times_s)
        times_s = numpy.where(known, times_s, 0.0)
        rows = (
            numpy.ones_like(times_s),
            loads,
            times_s,
            loads**2,
            loads * times_s,
            times_s**2,
        )
        self._sums += numpy.stack(rows) * known

    def estimate(self):
        """Return the Estimate of all ranks."""
        count, load, time_s, *_ = self._sums
        enough = count >= conf.EVIDENCE_REPORTS_MIN
        factors = numpy.ones(len(count))
        errors = numpy.full(len(count), math.inf)
        if enough.sum() < 2:
            return Estimate(factors=factors, errors=errors)
        base, slope = self._fit_common_line(enough)
        expected = base * count + slope * load
        enough &= expected > 0
        factors[enough] = time_s[enough] / expected[enough]
        errors[enough] = self._find_errors(base, slope, expected, factors)[
            enough
        ]
        return Estimate(factors=factors, errors=errors)

    def _fit_common_line(self, enough):
        """Fit time over load to the ranks that agree with most others."""
        members = enough
        for _ in range(conf.FIT_ROUNDS):
            base, slope = _fit_line(self._sums[:, members].sum(axis=1))
            expected = base * self._sums[0] + slope * self._sums[1]
            ratio = self._sums[2] / numpy.maximum(expected, 1e-12)
            middle = numpy.median(ratio[enough])
            near = numpy.abs(ratio / middle - 1) < conf.FIT_TOLERANCE
            if not (enough & near).any():
                return base * middle, slope * middle
            members = enough & near
        return base, slope

    def _find_errors(self, base, slope, expected, factors):
        count, load, time_s, load_2, load_time, time_2 = self._sums
        scaled_base, scaled_slope = base * factors, slope * factors
        residual = (
            time_2
            - 2 * (scaled_base * time_s + scaled_slope * load_time)
            + scaled_base**2 * count
            + 2 * scaled_base * scaled_slope * load
            + scaled_slope**2 * load_2
        )
        deviation = numpy.sqrt(numpy.maximum(residual, 0.0))
        return deviation / numpy.maximum(expected, 1e-12)


def _fit_line(sums):
    """Return (base, slope) by least squares, neither of them negative."""
    count, load, time_s, load_2, load_time, _ = sums
    spread = load_2 * count - load**2
    if spread <= (conf.LOAD_SPREAD_MIN * load) ** 2:
        return time_s / count, 0.0
    slope = (load_time * count - load * time_s) / spread
    base = (time_s - slope * load) / count
    if slope < 0:
        return time_s / count, 0.0
    if base < 0:
        return 0.0, load_time / load_2
    return base, slope
