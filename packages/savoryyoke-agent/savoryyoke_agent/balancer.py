"""Plan expert maps on the leader's VM."""

import collections
import math

import anyio

from savoryyoke.groups.balancing import conf as balancing_conf
from savoryyoke.groups.balancing import contents
from savoryyoke.groups.balancing import demand
from savoryyoke.groups.balancing import planner

from savoryyoke_agent import conf

from savoryyoke_edge import logs


class Balancer:
    """Estimate the demand for experts and plan maps for it.

    ``contents`` stores the maps that this agent has received. ``clock``
    returns seconds.

    Planning takes some 50 ms for each set of experts on the smallest VMs.
    Other tasks of the process run after each step of it.
    """

    def __init__(self, *, clock, policy=None):
        self._clock = clock
        self._policy = policy or balancing_conf.BalancePolicy()
        self._demand = None
        self._shape = None
        self.contents = contents.MapContents()
        self._steps = collections.deque()
        self._last_keep_reason = None
        self._last_shift_s = -math.inf

    def set_shape(self, shape):
        """Set the ``GroupShape``; a changed one discards demand and maps."""
        if shape == self._shape:
            return
        self._shape = shape
        self._demand = demand.DemandEstimator(
            sets=shape.sets, experts=shape.experts
        )
        self.contents.set_shape(shape)

    def add_choices(self, choices):
        """Add the number of choices of each expert, set by set."""
        if self._demand is not None:
            self._demand.add(choices, now_s=self._clock())

    def record_pass(self, step):
        """Record the number of the last pass that was begun."""
        now_s = self._clock()
        self._steps.append((now_s, step))
        while now_s - self._steps[0][0] > conf.PASS_TIME_WINDOW_S:
            self._steps.popleft()

    def mean_pass_s(self):
        """Return the mean time of a pass; 0 with fewer than three passes."""
        if not self._steps:
            return 0.0
        oldest_s, oldest_step = self._steps[0]
        newest_s, newest_step = self._steps[-1]
        if newest_step - oldest_step < 3:
            return 0.0
        return (newest_s - oldest_s) / (newest_step - oldest_step)

    async def plan(self, *, version, slowdowns):
        """Return a ``planner.Plan``, or None if no map gains enough.

        ``version`` is that of the map in use. ``slowdowns`` holds for each
        rank the time that it takes for a pass, divided by the usual time.
        """
        present_map = self.contents.find_experts(version, ranks=len(slowdowns))
        if present_map is None or self._demand is None:
            return self._keep_map(version, 'content-unknown')
        if self.mean_pass_s() < self._policy.min_pass_s:
            return self._keep_map(version, 'passes-short')
        estimated_demand = self._demand.estimate(now_s=self._clock())
        if self._demand.shift_distance is not None:
            self._report_shift(self._clock())
        if estimated_demand is None:
            return self._keep_map(version, 'demand-unknown')
        if self._is_balanced(present_map, estimated_demand, slowdowns):
            return self._keep_map(version, 'even')
        plan = await self._search(present_map, estimated_demand, slowdowns)
        if plan.gain < self._policy.min_gain:
            return self._keep_map(version, 'no-better-map')
        self._last_keep_reason = None
        logs.write_event(
            'map_planned',
            version=version,
            peak_before=plan.peak_before,
            peak_after=plan.peak_after,
            copies=plan.copies,
            most_copies=plan.most_copies,
            pass_s=self.mean_pass_s(),
            distance=self._demand.distance,
            min_distance=self._demand.min_shift_distance,
        )
        return plan

    def has_demand_shifted(self):
        """Return whether demand has shifted since the last plan.

        A shift that the plan may be for isn't reported again.
        """
        if self._demand is None:
            return False
        now_s = self._clock()
        self._demand.estimate(now_s=now_s)
        if self._demand.shift_distance is None:
            return False
        is_known = (
            now_s - self._last_shift_s <= 2 * balancing_conf.RECENT_WINDOW_S
        )
        self._report_shift(now_s)
        return not is_known

    def _report_shift(self, now_s):
        self._last_shift_s = now_s
        logs.write_event(
            'demand_shifted',
            distance=self._demand.shift_distance,
            min_distance=self._demand.min_shift_distance,
        )

    def _keep_map(self, version, reason):
        """Log why the map stays in use, unless the last reason was the same.

        Return None.
        """
        if reason != self._last_keep_reason:
            self._last_keep_reason = reason
            logs.write_event(
                'map_kept',
                version=version,
                reason=reason,
                pass_s=self.mean_pass_s(),
            )

    def _is_balanced(self, present_map, estimated_demand, slowdowns):
        """Return whether a perfectly even map would gain too little."""
        mean_peak = planner.find_mean_peak(
            present_map, estimated_demand, slowdowns
        )
        return 1 - 1 / mean_peak < self._policy.min_gain

    async def _search(self, present_map, estimated_demand, slowdowns):
        slices = planner.plan_in_slices(
            present_map,
            estimated_demand,
            slowdowns=slowdowns,
            slots=self._shape.slots,
            max_copies_per_rank=self._shape.max_copies_per_rank,
            min_reduction_per_copy=self._policy.min_reduction_per_copy,
            timing=planner.ChangeTiming(
                copy_s=self._shape.copy_s,
                demand_life_s=self._demand.mean_life_s,
            ),
        )
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                return stop.value
            await anyio.sleep(0)
