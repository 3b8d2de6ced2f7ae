"""Provide numeric helpers for routing."""

import math


class DecayingMean:
    """Average samples, exponentially weighted.

    Without new samples the average decays to a default. ``weight`` is the
    weight of a new sample, 0 to 1.
    """

    __slots__ = ('_half_life_s', '_updated_at_s', '_value', '_weight')

    def __init__(self, *, weight, half_life_s):
        self._weight = weight
        self._half_life_s = half_life_s
        self._value = None
        self._updated_at_s = 0.0

    def add(self, sample, *, now_s):
        """Add a sample to the average."""
        if self._value is None:
            self._value = sample
        else:
            self._value += self._weight * (sample - self._value)
        self._updated_at_s = now_s

    @property
    def value(self):
        """Return the average at the last sample, None without samples."""
        return self._value

    def read(self, *, now_s, default):
        """Return the average, which decays to ``default`` with its age."""
        if self._value is None:
            return default
        age_s = max(0.0, now_s - self._updated_at_s)
        remaining_weight = 0.5 ** (age_s / self._half_life_s)
        return default + (self._value - default) * remaining_weight


def is_between(value, *, lowest, highest):
    """Return whether a value is a finite number within bounds."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value) and lowest <= value <= highest
