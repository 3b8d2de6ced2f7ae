"""Choose the mildest sufficient action against the slow ranks of a group."""

import functools

import numpy

from savoryyoke.groups import exceptions
from savoryyoke.groups.stragglers import conf
from savoryyoke.groups.stragglers import decisions
from savoryyoke.groups.stragglers import events
from savoryyoke.groups.stragglers import evidence
from savoryyoke.groups.stragglers import ranks as rank_health


class StragglerMonitor:
    """Move experts off slow ranks, then limit batches, then drain the group.

    Each further action waits ``ACTION_INTERVAL_S`` for the effect of the
    previous one. Only slow ranks lead to actions: the rebalancer handles steps
    that are slow because some experts are in high demand.
    """

    def __init__(self, *, ranks, step_time_limit_s=conf.STEP_TIME_LIMIT_S):
        """Start with healthy ranks and unlimited batches.

        ``ranks`` is the number of ranks. Steps that take longer than
        ``step_time_limit_s`` are late.
        """
        self._step_time_limit_s = step_time_limit_s
        self._rank_times = evidence.RankTimes(ranks=ranks)
        self._health_by_rank = [rank_health.RankHealth() for _ in range(ranks)]
        self._batch_share = 1.0
        self._is_drained = False
        self._last_action_s = 0.0
        self._step_time_s = None

    @property
    def speeds(self):
        """Return each rank's relative speed as used for planning maps."""
        return numpy.array([health.speed for health in self._health_by_rank])

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Process ``event`` and return a tuple of decisions.

        Raise ``UnknownEvent`` for an event of another type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.StepsReported, *, now_s):
        self._rank_times.add(event.rank_loads, event.rank_times_s, now_s=now_s)
        known_times_s = event.rank_times_s[numpy.isfinite(event.rank_times_s)]
        if known_times_s.size:
            self._smooth_step_time(float(known_times_s.max()))
        estimate = self._rank_times.estimate()
        shift_decisions = self._update_ranks(estimate, now_s)
        if shift_decisions:
            self._last_action_s = now_s
            return shift_decisions
        return self._escalate(now_s)

    def _smooth_step_time(self, time_s):
        if self._step_time_s is None:
            self._step_time_s = time_s
        self._step_time_s += 0.2 * (time_s - self._step_time_s)

    def _update_ranks(self, estimate, now_s):
        is_significant = estimate.is_significant
        changed_ranks = [
            rank
            for rank, health in enumerate(self._health_by_rank)
            if health.update(
                time_ratio=float(estimate.time_ratios[rank]),
                is_significant=bool(is_significant[rank]),
                now_s=now_s,
            )
        ]
        if not changed_ranks:
            return ()
        reason = ', '.join(
            f'rank {rank} speed {self._health_by_rank[rank].speed:.2f}'
            for rank in changed_ranks
        )
        return (decisions.ShiftExperts(speeds=self.speeds, reason=reason),)

    def _escalate(self, now_s):
        slow_ranks = [
            rank
            for rank, health in enumerate(self._health_by_rank)
            if health.is_slow
        ]
        if not slow_ranks:
            return self._undo_actions()
        if (
            self._is_drained
            or now_s - self._last_action_s < conf.ACTION_INTERVAL_S
        ):
            return ()
        slowest_rank = min(
            slow_ranks,
            key=lambda rank: self._health_by_rank[rank].speed,
        )
        speed = self._health_by_rank[slowest_rank].speed
        is_late = self._step_time_s > self._step_time_limit_s
        if is_late and (
            speed * conf.DRAIN_TIME_RATIO < 1
            or self._batch_share <= conf.MIN_BATCH_SHARE
        ):
            return self._drain_group(slowest_rank, speed)
        if is_late:
            return self._limit_batch(slowest_rank, now_s)
        return ()

    def _drain_group(self, slowest_rank, speed):
        self._is_drained = True
        reason = (
            f'rank {slowest_rank} runs at speed {speed:.2f} and steps take '
            f'{self._step_time_s * 1e3:.1f} ms'
        )
        return (decisions.DrainGroup(reason=reason),)

    def _limit_batch(self, slowest_rank, now_s):
        self._last_action_s = now_s
        required_share = (
            self._batch_share * self._step_time_limit_s / self._step_time_s
        )
        self._batch_share = max(conf.MIN_BATCH_SHARE, 0.95 * required_share)
        reason = (
            f'rank {slowest_rank} is slow and steps take '
            f'{self._step_time_s * 1e3:.1f} ms'
        )
        return (decisions.LimitBatch(share=self._batch_share, reason=reason),)

    def _undo_actions(self):
        """Undo the drain and the batch limit, as no rank is slow any more."""
        undo_decisions = ()
        if self._is_drained:
            self._is_drained = False
            undo_decisions += (
                decisions.RestoreGroup(reason='no rank is slow'),
            )
        if self._batch_share < 1:
            self._batch_share = 1.0
            undo_decisions += (
                decisions.LimitBatch(share=1.0, reason='no rank is slow'),
            )
        return undo_decisions
