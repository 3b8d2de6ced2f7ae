"""Estimate how slow each rank is for its load."""

import dataclasses
import math

import numpy

from savoryyoke.groups.stragglers import conf


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Estimate:
    """Hold the estimated slowdown of each rank.

    ``time_ratios`` holds the ratio of each rank's time to the time that the
    other ranks would take for its load; 1.0 if there are too few reports.
    ``standard_errors`` holds the standard errors of the ratios.
    """

    time_ratios: numpy.ndarray
    standard_errors: numpy.ndarray

    @property
    def is_significant(self):
        """Return for each rank whether its ratio differs significantly from 1.

        The result is a boolean array.
        """
        distance = numpy.abs(self.time_ratios - 1)
        return distance > conf.MIN_STANDARD_ERRORS * self.standard_errors


class RankTimes:
    """Sum up each rank's loads and times with exponential decay.

    The times of healthy ranks lie on one common line over their loads. A rank
    with experts in high demand is late but on the line; a slow rank lies above
    the line at any load.
    """

    def __init__(self, *, ranks):
        """Start without reports."""
        # Rows: sums of 1, load, time, load ** 2, load * time, time ** 2.
        self._sums = numpy.zeros((6, ranks))
        self._reported_s = None

    def add(self, loads, times_s, *, now_s):
        """Add one report; ignore the ranks whose time is NaN."""
        if self._reported_s is not None:
            elapsed_s = now_s - self._reported_s
            self._sums *= math.exp(-elapsed_s / conf.EVIDENCE_TIME_CONSTANT_S)
        self._reported_s = now_s
        is_known = numpy.isfinite(times_s)
        times_s = numpy.where(is_known, times_s, 0.0)
        rows = (
            numpy.ones_like(times_s),
            loads,
            times_s,
            loads**2,
            loads * times_s,
            times_s**2,
        )
        self._sums += numpy.stack(rows) * is_known

    def estimate(self):
        """Return the ``Estimate`` of all ranks."""
        counts, load, time_s, *_ = self._sums
        has_evidence = counts >= conf.EVIDENCE_MIN_REPORTS
        time_ratios = numpy.ones(len(counts))
        standard_errors = numpy.full(len(counts), math.inf)
        if has_evidence.sum() < 2:
            return Estimate(
                time_ratios=time_ratios, standard_errors=standard_errors
            )
        base, slope = self._fit_common_line(has_evidence)
        expected = base * counts + slope * load
        has_evidence &= expected > 0
        time_ratios[has_evidence] = (
            time_s[has_evidence] / expected[has_evidence]
        )
        standard_errors[has_evidence] = self._compute_standard_errors(
            base, slope, expected, time_ratios
        )[has_evidence]
        return Estimate(
            time_ratios=time_ratios, standard_errors=standard_errors
        )

    def _fit_common_line(self, has_evidence):
        """Fit time over load to the ranks near the median; return the line.

        The line is (base in s, slope in s per token).
        """
        fitted_ranks = has_evidence
        for _ in range(conf.FIT_ITERATIONS):
            base, slope = _fit_line(self._sums[:, fitted_ranks].sum(axis=1))
            expected = base * self._sums[0] + slope * self._sums[1]
            ratio = self._sums[2] / numpy.maximum(expected, 1e-12)
            median_ratio = numpy.median(ratio[has_evidence])
            is_close = numpy.abs(ratio / median_ratio - 1) < conf.FIT_TOLERANCE
            if not (has_evidence & is_close).any():
                return base * median_ratio, slope * median_ratio
            fitted_ranks = has_evidence & is_close
        return base, slope

    def _compute_standard_errors(self, base, slope, expected, time_ratios):
        counts, load, time_s, load_2, load_time, time_2 = self._sums
        scaled_base, scaled_slope = base * time_ratios, slope * time_ratios
        residual = (
            time_2
            - 2 * (scaled_base * time_s + scaled_slope * load_time)
            + scaled_base**2 * counts
            + 2 * scaled_base * scaled_slope * load
            + scaled_slope**2 * load_2
        )
        deviation = numpy.sqrt(numpy.maximum(residual, 0.0))
        return deviation / numpy.maximum(expected, 1e-12)


def _fit_line(sums):
    """Return (base, slope) of a least-squares fit, neither negative."""
    counts, load, time_s, load_2, load_time, _ = sums
    scaled_variance = load_2 * counts - load**2
    if scaled_variance <= (conf.MIN_RELATIVE_LOAD_SPREAD * load) ** 2:
        return time_s / counts, 0.0
    slope = (load_time * counts - load * time_s) / scaled_variance
    base = (time_s - slope * load) / counts
    if slope < 0:
        return time_s / counts, 0.0
    if base < 0:
        return 0.0, load_time / load_2
    return base, slope
