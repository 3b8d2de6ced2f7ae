"""Choose the mildest action that copes with the slow ranks of a group."""

import functools

import numpy

from savoryyoke.groups import exceptions
from savoryyoke.groups.stragglers import conf
from savoryyoke.groups.stragglers import decisions
from savoryyoke.groups.stragglers import events
from savoryyoke.groups.stragglers import evidence
from savoryyoke.groups.stragglers import ranks as rank_judgements


class StragglerMonitor:
    """Shift experts first, then shrink the batch, then drain the group.

    Each further action waits until the one before has had time to act. Only
    a slow rank leads to action: steps that are slow because of hot experts
    are the rebalancer's.
    """

    def __init__(self, *, ranks, step_time_limit_s=conf.STEP_TIME_LIMIT_S):
        """Start with healthy ranks and a whole batch."""
        self._step_time_limit_s = step_time_limit_s
        self._times = evidence.RankTimes(ranks=ranks)
        self._ranks = [rank_judgements.RankHealth() for _ in range(ranks)]
        self._share = 1.0
        self._drained = False
        self._acted_s = 0.0
        self._step_time_s = None

    @property
    def speeds(self):
        """Return the relative speed of each rank that plans go by."""
        return numpy.array([rank.speed for rank in self._ranks])

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in ``event`` and return a tuple of decisions."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.StepsReported, *, now_s):
        self._times.add(event.rank_loads, event.rank_times_s, now_s=now_s)
        known = event.rank_times_s[numpy.isfinite(event.rank_times_s)]
        if known.size:
            self._smooth_step_time(float(known.max()))
        estimate = self._times.estimate()
        shifted = self._judge_ranks(estimate, now_s)
        if shifted:
            self._acted_s = now_s
            return shifted
        return self._escalate(now_s)

    def _smooth_step_time(self, time_s):
        if self._step_time_s is None:
            self._step_time_s = time_s
        self._step_time_s += 0.2 * (time_s - self._step_time_s)

    def _judge_ranks(self, estimate, now_s):
        certain = estimate.certain
        changed = [
            number
            for number, rank in enumerate(self._ranks)
            if rank.judge(
                factor=float(estimate.factors[number]),
                certain=bool(certain[number]),
                now_s=now_s,
            )
        ]
        if not changed:
            return ()
        figures = ', '.join(
            f'rank {number} speed {self._ranks[number].speed:.2f}'
            for number in changed
        )
        return (decisions.ShiftExperts(speeds=self.speeds, reason=figures),)

    def _escalate(self, now_s):
        slow = [number for number, rank in enumerate(self._ranks) if rank.slow]
        if not slow:
            return self._relax()
        if self._drained or now_s - self._acted_s < conf.ACT_AFTER_S:
            return ()
        slowest = min(slow, key=lambda number: self._ranks[number].speed)
        speed = self._ranks[slowest].speed
        late = self._step_time_s > self._step_time_limit_s
        if late and (
            speed * conf.DRAIN_FACTOR < 1
            or self._share <= conf.BATCH_SHARE_MIN
        ):
            return self._drain(slowest, speed)
        if late:
            return self._shrink(slowest, now_s)
        return ()

    def _drain(self, slowest, speed):
        self._drained = True
        reason = (
            f'rank {slowest} runs at speed {speed:.2f} and steps take '
            f'{self._step_time_s * 1e3:.1f} ms'
        )
        return (decisions.DrainGroup(reason=reason),)

    def _shrink(self, slowest, now_s):
        self._acted_s = now_s
        wanted = self._share * self._step_time_limit_s / self._step_time_s
        self._share = max(conf.BATCH_SHARE_MIN, 0.95 * wanted)
        reason = (
            f'rank {slowest} is slow and steps take '
            f'{self._step_time_s * 1e3:.1f} ms'
        )
        return (decisions.LimitBatch(share=self._share, reason=reason),)

    def _relax(self):
        """Undo what was done once no rank is slow any more."""
        undone = ()
        if self._drained:
            self._drained = False
            undone += (decisions.RestoreGroup(reason='no rank is slow'),)
        if self._share < 1:
            self._share = 1.0
            undone += (
                decisions.LimitBatch(share=1.0, reason='no rank is slow'),
            )
        return undone
