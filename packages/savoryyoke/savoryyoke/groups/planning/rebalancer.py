"""Decide when a group's map is worth a search and a change."""

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
    """Ask for searches when the ranks are uneven, and judge their plans.

    One search or change runs at a time.
    """

    def __init__(self, *, expert_map, ranks):
        """Start with the map in force and ranks of equal speed."""
        self._map = expert_map
        self._speeds = numpy.ones(ranks)
        self._estimator = estimates.LoadEstimator()
        self._searched_s = -math.inf
        self._busy = False

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in ``event`` and return a tuple of decisions."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.LoadReported, *, now_s):
        self._estimator.add(event.loads, now_s=now_s)
        if self._busy or now_s < self._searched_s + conf.PLAN_INTERVAL_S:
            return ()
        loads = self._estimator.loads
        ratio = self._find_ratio(loads)
        if ratio < conf.RATIO_WORTH_PLANNING:
            return ()
        self._busy = True
        self._searched_s = now_s
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
        self._busy = False
        return ()

    @apply.register
    def _(self, event: events.PlanFound, *, now_s):
        plan = event.plan
        figures = f'gain={plan.gain:.3f} moves={plan.moves}'
        if not plan.moves or plan.gain < conf.GAIN_MIN or plan.saving_s <= 0:
            self._busy = False
            return (
                decisions.KeepMap(reason=f'no plan pays for itself {figures}'),
            )
        reason = f'{figures} saving_s={plan.saving_s:.1f}'
        return (decisions.ProposeMap(plan=plan, reason=reason),)

    def _find_ratio(self, loads):
        bound = maps.find_lower_bound(loads, self._speeds)
        if not bound:
            return 1.0
        return maps.find_step_time(self._map, loads, self._speeds) / bound
