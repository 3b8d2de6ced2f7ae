"""Decide when to search for a new map of a group and when to use it."""

import functools
import math

import numpy

from savoryyoke.groups import exceptions
from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import decisions
from savoryyoke.groups.planning import estimates
from savoryyoke.groups.planning import events
from savoryyoke.groups.planning import maps


class Rebalancer:
    """Request searches while the loads are uneven, and evaluate their plans.

    Only one search or change of maps runs at a time.
    """

    def __init__(self, *, expert_map, ranks):
        """Start with the map in use and ranks of equal speed."""
        self._map = expert_map
        self._speeds = numpy.ones(ranks)
        self._estimator = estimates.LoadEstimator()
        self._search_started_s = -math.inf
        self._is_busy = False

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Apply ``event`` and return a tuple of decisions.

        Raises UnknownEvent if there is no handler for the type of event.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.LoadReported, *, now_s):
        self._estimator.add(event.loads, now_s=now_s)
        if (
            self._is_busy
            or now_s < self._search_started_s + conf.PLAN_INTERVAL_S
        ):
            return ()
        loads = self._estimator.loads
        ratio = self._find_step_time_ratio(loads)
        if ratio < conf.STEP_TIME_RATIO_MIN:
            return ()
        self._is_busy = True
        self._search_started_s = now_s
        return (
            decisions.SearchMap(
                present=self._map,
                loads=loads,
                speeds=self._speeds,
                ratio=ratio,
            ),
        )

    @apply.register
    def _(self, event: events.SpeedsEstimated, *, now_s):
        self._speeds = event.speeds
        return ()

    @apply.register
    def _(self, event: events.MapInForce, *, now_s):
        self._map = event.expert_map
        self._is_busy = False
        return ()

    @apply.register
    def _(self, event: events.PlanFound, *, now_s):
        plan = event.plan
        figures = f'gain={plan.gain:.3f} moves={plan.moves}'
        if not plan.moves or plan.gain < conf.GAIN_MIN or plan.saving_s <= 0:
            self._is_busy = False
            return (
                decisions.KeepMap(
                    reason=f'gain does not justify the moves {figures}'
                ),
            )
        reason = f'{figures} saving_s={plan.saving_s:.1f}'
        return (decisions.ProposeMap(plan=plan, reason=reason),)

    def _find_step_time_ratio(self, loads):
        """Return the step time divided by its lower bound."""
        lower_bound = maps.find_lower_bound(loads, self._speeds)
        if not lower_bound:
            return 1.0
        return (
            maps.find_step_time(self._map, loads, self._speeds) / lower_bound
        )
