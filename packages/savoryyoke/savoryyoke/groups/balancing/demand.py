"""Estimate how often each expert is chosen now."""

import collections

from savoryyoke.groups.balancing import conf


class ChoicesSum:
    """Add up choices of experts until they are reported.

    The counts of an engine grow from its start; smaller ones than before are
    those of a new start.
    """

    def __init__(self):
        self._counts = None
        self._sum = None

    def note_counts(self, counts):
        """Take in the counts of the own engine."""
        known, self._counts = self._counts, counts
        if known is None or len(known) != len(counts):
            return
        if not any(map(int.__lt__, counts, known)):
            self.add(list(map(int.__sub__, counts, known)))

    def add(self, choices):
        """Take in the choices that another rank has reported."""
        if self._sum is None or len(self._sum) != len(choices):
            self._sum = list(choices)
        else:
            self._sum = list(map(int.__add__, self._sum, choices))

    def take(self):
        """Return the choices since the last call; None if there are none."""
        taken, self._sum = self._sum, None
        return taken if taken is not None and any(taken) else None


class Demand:
    """Add up the choices of all ranks since the last shift of demand.

    Answers demand that stays as it is for some seconds and then shifts at
    once. Counts of the recent window are compared with those before it:
    where they are too far apart, the older ones are dropped, so that no plan
    rests on demand that is over. Otherwise all count, fading slowly, since
    the requests of one moment say little about the next.

    """

    def __init__(self, *, sets, experts):
        self._sets = sets
        self._experts = experts
        self._recent = collections.deque()
        self._settled = [0.0] * (sets * experts)
        self._settled_s = None
        self.shift = None

    def add(self, choices, *, now_s):
        """Take in how often experts were chosen: a flat sequence by set."""
        if len(choices) == len(self._settled):
            self._recent.append((now_s, choices))

    def estimate(self, *, now_s):
        """Return the demand by set and expert, or None while unknown.

        Each set's demand adds up to 1. ``shift`` is the distance of a shift
        that was found just now, from 0 to 1, else None.
        """
        self._settle(now_s)
        recent = [0] * len(self._settled)
        for _, increase in self._recent:
            recent = list(map(int.__add__, recent, increase))
        self._drop_settled_after_shift(recent)
        total = list(map(float.__add__, self._settled, map(float, recent)))
        if not self._is_enough(total):
            return None
        return [_normalize(one) for one in self._split(total)]

    def _settle(self, now_s):
        """Add what has left the recent window to the settled counts."""
        while self._recent and now_s - self._recent[0][0] > conf.RECENT_S:
            noted_s, increase = self._recent.popleft()
            self._fade(noted_s)
            self._settled = list(
                map(float.__add__, self._settled, map(float, increase))
            )

    def _fade(self, now_s):
        if self._settled_s is not None:
            passed_s = max(now_s - self._settled_s, 0.0)
            kept = 0.5 ** (passed_s / conf.SETTLED_HALF_LIFE_S)
            self._settled = [kept * x for x in self._settled]
        self._settled_s = now_s

    def _drop_settled_after_shift(self, recent):
        self.shift = None
        if not self._is_enough(recent) or not self._is_enough(self._settled):
            return
        distances = [
            _find_distance(_normalize(new), _normalize(old))
            for new, old in zip(
                self._split(recent), self._split(self._settled), strict=True
            )
        ]
        distance = sum(distances) / len(distances)
        if distance >= conf.SHIFT_DISTANCE:
            self.shift = distance
            self._settled = [0.0] * len(self._settled)

    def _is_enough(self, counts):
        return sum(counts) >= conf.LEAST_CHOICES * self._sets

    def _split(self, counts):
        """Return the counts of each set."""
        return [
            counts[start : start + self._experts]
            for start in range(0, len(counts), self._experts)
        ]


def _normalize(counts):
    total = sum(counts) or 1
    return [count / total for count in counts]


def _find_distance(demand, other):
    """Return the total variation distance of two demands."""
    return sum(map(abs, map(float.__sub__, demand, other))) / 2
