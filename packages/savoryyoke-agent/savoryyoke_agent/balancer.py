"""Plan maps on the leader's VM."""

import collections

import anyio

from savoryyoke.groups.balancing import conf as balancing_conf
from savoryyoke.groups.balancing import contents
from savoryyoke.groups.balancing import demand
from savoryyoke.groups.balancing import planner
from savoryyoke.groups.balancing import search

from savoryyoke_agent import conf

from savoryyoke_edge import logs


class Balancer:
    """Own the estimate of demand and plan on it.

    ``contents`` holds what is known of maps.

    A slice of a search takes some 50 ms on the smallest VMs; between two
    slices the process serves its sockets.
    """

    def __init__(self, *, clock, policy=None):
        self._clock = clock
        self._policy = policy or balancing_conf.BalancePolicy()
        self._demand = None
        self._shape = None
        self.contents = contents.MapContents()
        self._steps = collections.deque()
        self._kept_because = None

    def set_shape(self, shape):
        """Take over the shape of the group; a new one forgets all."""
        if shape == self._shape:
            return
        self._shape = shape
        self._demand = demand.DemandEstimator(
            sets=shape.sets, experts=shape.experts
        )
        self.contents.set_shape(shape)

    def note_choices(self, choices):
        """Take in how often experts were chosen, set by set."""
        if self._demand is not None:
            self._demand.add(choices, now_s=self._clock())

    def note_step(self, step):
        """Take in the number of the last pass."""
        now_s = self._clock()
        self._steps.append((now_s, step))
        while now_s - self._steps[0][0] > conf.PACE_WINDOW_S:
            self._steps.popleft()

    def pass_s(self):
        """Return the usual time of a pass; 0 while there are too few."""
        if not self._steps:
            return 0.0
        first_s, first = self._steps[0]
        last_s, last = self._steps[-1]
        if last - first < 3:
            return 0.0
        return (last_s - first_s) / (last - first)

    async def plan(self, *, version, paces):
        """Return the ``planner.Plan`` that pays, or None.

        ``paces`` holds each rank's time over the usual one, by rank.
        """
        present = self.contents.find_experts(version, ranks=len(paces))
        if present is None or self._demand is None:
            return self._keep(version, 'content-unknown')
        if self.pass_s() < self._policy.min_pass_s:
            return self._keep(version, 'passes-short')
        wanted = self._demand.estimate(now_s=self._clock())
        if self._demand.shift_distance is not None:
            logs.write_event(
                'demand_shifted', distance=self._demand.shift_distance
            )
        if wanted is None:
            return self._keep(version, 'demand-unknown')
        if self._is_even(present, wanted, paces):
            return self._keep(version, 'even')
        plan = await self._search(present, wanted, paces)
        if plan.gain < self._policy.min_gain:
            return self._keep(version, 'no-better-map')
        self._kept_because = None
        logs.write_event(
            'map_planned',
            version=version,
            peak_before=plan.peak_before,
            peak_after=plan.peak_after,
            copies=plan.copies,
            pass_s=self.pass_s(),
        )
        return plan

    def _keep(self, version, reason):
        """Log why the map stays, once for each reason in a row."""
        if reason != self._kept_because:
            self._kept_because = reason
            logs.write_event(
                'map_kept',
                version=version,
                reason=reason,
                pass_s=self.pass_s(),
            )

    def _is_even(self, present, wanted, paces):
        peaks = [
            search.find_peak(ranks_experts, one, paces)
            for ranks_experts, one in zip(present, wanted, strict=True)
        ]
        mean = sum(peaks) / len(peaks)
        return 1 - 1 / mean < self._policy.min_gain

    async def _search(self, present, wanted, paces):
        slices = planner.plan_in_slices(
            present,
            wanted,
            slowdowns=paces,
            slots=self._shape.places,
            max_copies_per_rank=self._shape.spare,
            min_reduction_per_copy=self._policy.min_reduction_per_copy,
        )
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                return stop.value
            await anyio.sleep(0)
