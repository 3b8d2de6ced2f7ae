"""Track the targets of a service and choose one for each request."""

import collections
import dataclasses
import heapq
import math

from savoryyoke.placement import conf
from savoryyoke.placement import groups
from savoryyoke.placement import health
from savoryyoke.placement import notices
from savoryyoke.placement import rate_limits
from savoryyoke.placement import unseen

from savoryyoke.scarcity import account
from savoryyoke.scarcity import models as scarcity_models


class _ColdRate:
    """Limit the requests per second from one entry to one target.

    If an entry's share is below one request per second, it decides at random
    once per second whether it may send one. Rounding the share up would exceed
    the total limit. Random decisions rarely coincide, so their probability
    is not reduced by ``COLD_SHARE``.
    """

    def __init__(self):
        self._sent_times_s = collections.deque()
        self._window_number = None
        self._may_send_one = False

    def record_sent(self, now_s):
        """Record that a request is sent."""
        self._sent_times_s.append(now_s)

    def allows_request(self, rate_per_s, *, now_s, random_fraction):
        """Return whether a further request stays within the rate limit."""
        while (
            self._sent_times_s
            and now_s - self._sent_times_s[0] > conf.COLD_WINDOW_S
        ):
            self._sent_times_s.popleft()
        if rate_per_s >= 1:
            return len(self._sent_times_s) < rate_per_s
        window_number = now_s // conf.COLD_WINDOW_S
        if window_number != self._window_number:
            self._window_number = window_number
            self._may_send_one = (
                random_fraction() < rate_per_s / conf.COLD_SHARE
            )
        return self._may_send_one and not self._sent_times_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Supply:
    """Describe how fast targets can take requests of this entry.

    ``rate_per_s`` is the rate at which usable targets with a rate limit take
    them, ``unlimited_in_flight`` the number of this entry's requests in flight
    at targets without one. ``is_rate_limited`` is true if there are usable
    targets and all of them have a rate limit.
    """

    rate_per_s: float
    unlimited_in_flight: int
    is_rate_limited: bool


class _TargetState:
    """Hold this entry's state of one incarnation of a target."""

    def __init__(self, *, target, now_s):
        self.target = target
        self.health = health.TargetHealth(now_s=now_s)
        self.own_in_flight = 0
        # When this entry last freed a slot that it has not used again.
        self.freed_s = -math.inf
        self.cold_rate = _ColdRate()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _GroupLoad:
    """Hold the requests in flight at a group, its limit and its slots.

    ``limit`` is None if only the slots limit the group.
    """

    in_flight: int
    limit: float | None
    slots: int


def _find_group(target):
    """Return the name of a target's group, or its id without one."""
    return target.group or target.target_id


class TargetPool:
    """Own the state of the targets of one service at one entry.

    ``is_engine`` is true for a service whose targets are inference engines,
    which process their requests in batches. ``random_fraction`` is a function
    that returns a random number from 0 to 1.
    """

    def __init__(self, *, policy, is_engine, own_data_centre, random_fraction):
        self._policy = policy
        self._is_engine = is_engine
        self._own_data_centre = own_data_centre
        self._random_fraction = random_fraction
        self._cold_rate_per_s = None
        self._states_by_id = {}
        self._paces_by_address = {}
        self._requests_by_target_by_peer = {}
        self._peer_requests_by_target = collections.Counter()
        self._unseen = unseen.UnseenPlacements()
        self._claim_limit = unseen.ClaimLimit(random_fraction=random_fraction)
        self.groups = groups.GroupStates()
        self.notices = notices.TargetNotices()
        self.rate_limits = rate_limits.RateLimits(
            random_fraction=random_fraction
        )
        self._account = None

    @property
    def account(self):
        """Return the ``ScarcityAccount``, or None if there are no terms."""
        return self._account

    @property
    def terms(self):
        """Return the ``Terms`` in force, or None."""
        return None if self._account is None else self._account.terms

    def set_terms(self, terms):
        """Set the ``Terms`` for scarce capacity; None if there are none."""
        if terms is None or not self._is_engine:
            # Other targets don't run requests in passes.
            self._account = None
        elif self._account is None:
            self._account = account.ScarcityAccount(
                terms=terms, random_fraction=self._random_fraction
            )
        else:
            self._account.terms = terms

    def record_pause(self, target, pause_s, *, now_s):
        """Record the pause between two events of a stream."""
        if self._account is not None:
            self._account.record_pause(
                _find_group(target), pause_s, now_s=now_s
            )

    def lowest_limit_share(self, *, now_s):
        """Return the lowest limit of a group as a share of its slots."""
        return min(
            (
                load.limit / load.slots
                for load in self._measure_groups(now_s).values()
                if load.limit is not None
            ),
            default=1.0,
        )

    def placement_rate_per_s(self, *, now_s):
        """Return the rate at which this entry places requests."""
        return self._unseen.rate_per_s(now_s=now_s)

    def set_cold_rate(self, rate_per_s):
        """Set this entry's share of the cold limit, per second and target.

        None removes the limit.
        """
        self._cold_rate_per_s = rate_per_s

    def set_paces(self, paces_by_address):
        """Set the paces of slow targets by address.

        A pace is the ratio of a target's step time to the usual one. It is
        1 for targets that are not listed.
        """
        self._paces_by_address = paces_by_address

    def replace_targets(self, targets, *, now_s):
        """Set the published targets; keep the state of known incarnations."""
        states_by_id = {}
        for target in targets:
            state = self._states_by_id.get(target.target_id)
            if state is None or (
                state.target.incarnation != target.incarnation
            ):
                state = _TargetState(target=target, now_s=now_s)
            state.target = target
            states_by_id[target.target_id] = state
        self._states_by_id = states_by_id
        self.groups.replace_targets(targets, now_s=now_s)
        if self._account is not None:
            self._account.keep_groups(
                {_find_group(target) for target in targets}
            )

    def set_peer_requests(self, peer_id, requests_by_target_id, *, now_s):
        """Set the number of requests that a peer has in flight."""
        self._remove_peer_requests(peer_id)
        self._unseen.record_report(peer_id, now_s=now_s)
        self._requests_by_target_by_peer[peer_id] = requests_by_target_id
        self._peer_requests_by_target.update(requests_by_target_id)

    def remove_peer(self, peer_id):
        """Remove what a peer that is no longer heard has reported."""
        self._unseen.remove_peer(peer_id)
        self.rate_limits.remove_peer(peer_id)
        self._remove_peer_requests(peer_id)

    def _remove_peer_requests(self, peer_id):
        reported = self._requests_by_target_by_peer.pop(peer_id, {})
        for target_id, requests in reported.items():
            remaining = self._peer_requests_by_target[target_id] - requests
            if remaining:
                self._peer_requests_by_target[target_id] = remaining
            else:
                del self._peer_requests_by_target[target_id]

    def own_in_flight(self):
        """Return this entry's requests in flight by target id."""
        return {
            target_id: state.own_in_flight
            for target_id, state in self._states_by_id.items()
            if state.own_in_flight
        }

    def slows_group_down(self, target_id):
        """Return whether an engine is slower than most of its group."""
        state = self._states_by_id.get(target_id)
        if state is None or not self._is_engine:
            return False
        return self._slows_group_down(state)

    def in_flight(self, target_id):
        """Return the requests of all entries in flight at a target."""
        state = self._states_by_id.get(target_id)
        own = state.own_in_flight if state else 0
        return own + self._peer_requests_by_target[target_id]

    def record_sent(self, target_id, *, now_s):
        """Record that a request is sent to a target."""
        state = self._states_by_id[target_id]
        state.own_in_flight += 1
        state.freed_s = -math.inf
        state.cold_rate.record_sent(now_s)
        self.groups.record_sent(state.target, now_s=now_s)
        self.rate_limits.record_sent(state.target, now_s=now_s)
        self._unseen.record_placement(now_s=now_s)

    def record_try_end(self, event, *, now_s):
        """Record the ``TryEnded`` event of a request sent to a target.

        An event of an earlier incarnation is ignored.
        """
        state = self._states_by_id.get(event.target_id)
        if state is None or state.target.incarnation != event.incarnation:
            return
        state.own_in_flight = max(state.own_in_flight - 1, 0)
        state.freed_s = now_s
        state.health.record(
            event.result, latency_s=event.latency_s, now_s=now_s
        )
        if not state.health.was_reached:
            self.groups.record_unreached(state.target, now_s=now_s)

    def releases(self):
        """Return the releases that the targets run."""
        return frozenset(state.target.release for state in self._all_states())

    def has_usable_target(
        self, *, now_s, regions=frozenset(), withheld_releases=frozenset()
    ):
        """Return whether a target is in service, full or not."""
        return any(
            self._is_usable(state, regions, withheld_releases, now_s)
            for state in self._all_states()
        )

    def has_possible_target(self, *, regions=frozenset()):
        """Return whether a listed target is or may come into service."""
        return any(
            not self._is_leaving(state.target)
            and (not regions or state.target.region in regions)
            for state in self._all_states()
        )

    def all_paused_until_s(
        self, *, now_s, regions=frozenset(), withheld_releases=frozenset()
    ):
        """Return when the earliest pause ends.

        Return None if there is no usable target, or if one is not paused.
        Targets that were not reached don't count.
        """
        if not self.notices.has_pauses:
            return None
        ends_s = [
            self.notices.pause_end_s(state.target, now_s=now_s)
            for state in self._all_states()
            if state.health.was_reached
            and self._is_usable(state, regions, withheld_releases, now_s)
        ]
        if not ends_s or None in ends_s:
            return None
        return min(ends_s)

    def find_targets(self, reports):
        """Return the targets of those reports whose incarnation is listed."""
        targets = []
        for report in reports:
            state = self._states_by_id.get(report.target_id)
            if (
                state is not None
                and state.target.incarnation == report.incarnation
            ):
                targets.append(state.target)
        return targets

    def add_rate_reports(self, reports, *, peer_id, peer_incarnation, now_s):
        """Add a peer's ``RateReport`` objects that concern these targets."""
        self.rate_limits.add_reports(
            [report for report in reports if self.find_targets([report])],
            peer_id=peer_id,
            peer_incarnation=peer_incarnation,
            now_s=now_s,
        )

    def supply(
        self, *, now_s, regions=frozenset(), withheld_releases=frozenset()
    ):
        """Return the ``Supply`` of the usable targets that were reached."""
        rate_per_s = 0.0
        unlimited_in_flight = 0
        usable_count = limited_count = 0
        for state in self._all_states():
            is_usable = state.health.was_reached and self._is_usable(
                state, regions, withheld_releases, now_s
            )
            usable_count += is_usable
            if self.rate_limits.limit_per_s(state.target) is None:
                unlimited_in_flight += state.own_in_flight
            elif is_usable:
                limited_count += 1
                rate_per_s += self.rate_limits.supply_per_s(
                    state.target, now_s=now_s
                )
        return Supply(
            rate_per_s=rate_per_s,
            unlimited_in_flight=unlimited_in_flight,
            is_rate_limited=0 < usable_count == limited_count,
        )

    def choose(
        self,
        *,
        now_s,
        regions=frozenset(),
        excluded=frozenset(),
        withheld_releases=frozenset(),
        priority=0,
        level=scarcity_models.MOST_URGENT_LEVEL,
        may_wait=False,
        is_retry=False,
    ):
        """Return the best target with free capacity, or None.

        Targets with a rate limit have less capacity for requests with a
        higher ``priority``, which are less urgent. So have groups of engines
        for those with a higher ``level``. If ``may_wait`` is true, None may
        also mean that peers have probably taken the free slots of engines.
        A request with ``is_retry`` goes to a target that has answered before,
        if there is one: any number of published targets may not exist.
        """
        loads_by_group = self._measure_groups(now_s)
        candidates = [
            state
            for state in self._all_states()
            if state.target.target_id not in excluded
            and self._is_usable(state, regions, withheld_releases, now_s)
            and self._has_capacity(state, priority, now_s)
            and self._may_use_group(state.target, level, loads_by_group)
        ]
        if is_retry:
            candidates = [
                state
                for state in candidates
                if state.health.latency_s is not None
            ] or candidates
        if not candidates:
            return None
        if self._is_engine:
            return self._choose_engine(
                candidates, loads_by_group, now_s, may_wait
            )
        (best,) = self._find_best(1, candidates, loads_by_group, now_s)
        return best.target

    def _measure_groups(self, now_s):
        """Return the ``_GroupLoad`` of each group while there are terms.

        All its targets count, since they run each pass together, but only the
        slots of those that stay.
        """
        if self._account is None:
            return {}
        in_flight_by_group = collections.Counter()
        slots_by_group = collections.Counter()
        for state in self._all_states():
            if not self.groups.is_in_service(state.target, now_s=now_s):
                continue
            group = _find_group(state.target)
            in_flight_by_group[group] += self.in_flight(state.target.target_id)
            if not self._is_leaving(state.target):
                slots_by_group[group] += self._limit(state.target)
        return {
            group: _GroupLoad(
                in_flight=in_flight_by_group[group],
                limit=self._account.update_limit(
                    group,
                    in_flight=in_flight_by_group[group],
                    slots=slots,
                    now_s=now_s,
                ),
                slots=slots,
            )
            for group, slots in slots_by_group.items()
        }

    def _may_use_group(self, target, level, loads_by_group):
        load = loads_by_group.get(_find_group(target))
        if load is None:
            return True
        return self._account.may_use(
            level=level, in_flight=load.in_flight, limit=load.limit
        )

    def _find_best(self, count, states, loads_by_group, now_s):
        """Return the states of the ``count`` best targets, in order."""
        return heapq.nsmallest(
            count,
            states,
            key=lambda state: (
                self._score(state, loads_by_group, now_s),
                self._random_fraction(),
            ),
        )

    def _choose_engine(self, candidates, loads_by_group, now_s, may_wait):
        """Return an engine for a request, or None if it should wait.

        Entries that all chose the least loaded engine by reports of the same
        age would overload it. An entry therefore chooses at random among as
        many of the least loaded engines as peers are expected to have placed
        requests since their reports.
        """
        unseen_count = self._unseen.estimate(now_s=now_s)
        if may_wait:
            free_slots = sum(
                self._limit(state.target)
                - self.in_flight(state.target.target_id)
                for state in candidates
            )
            if not self._claim_limit.allows_claim(
                free_slots=free_slots, unseen=unseen_count, now_s=now_s
            ):
                return self._find_own_slot(candidates, now_s)
        choice_count = min(1 + int(unseen_count), len(candidates))
        best = self._find_best(choice_count, candidates, loads_by_group, now_s)
        number = min(
            int(self._random_fraction() * choice_count), choice_count - 1
        )
        return best[number].target

    def _find_own_slot(self, candidates, now_s):
        """Return an engine of which this entry has just freed a slot."""
        for state in candidates:
            if now_s - state.freed_s < conf.OWN_SLOT_S:
                return state.target
        return None

    def _all_states(self):
        return self._states_by_id.values()

    def _is_leaving(self, target):
        return target.is_draining or self.notices.is_leaving(target)

    def _is_usable(self, state, regions, withheld_releases, now_s):
        target = state.target
        return (
            self.groups.is_in_service(target, now_s=now_s)
            and not self._is_leaving(target)
            and (not regions or target.region in regions)
            and target.release not in withheld_releases
        )

    def _has_capacity(self, state, priority, now_s):
        if state.health.is_avoided(now_s=now_s):
            return False
        if not self._is_within_cold_rate(state, now_s):
            return False
        limit = self.notices.in_flight_limit(state.target, now_s=now_s)
        if limit is not None and state.own_in_flight >= limit:
            return False
        if self._is_engine and self._slows_group_down(state):
            return False
        target = state.target
        if self.in_flight(target.target_id) >= self._limit(target):
            return False
        return self.rate_limits.allows_request(
            target, priority=priority, now_s=now_s
        )

    def _slows_group_down(self, state):
        """Return whether a rank is slow while most of its group is not.

        Targets that were not reached don't count.
        """
        if not self._is_slow(state.target):
            return False
        are_slow = [
            self._is_slow(other.target)
            for other in self._all_states()
            if other.health.was_reached
        ]
        return 2 * sum(are_slow) < len(are_slow)

    def _is_slow(self, target):
        address = f'{target.host}:{target.port}'
        return self._paces_by_address.get(address, 1.0) >= conf.SLOW_PACE_RATIO

    def _is_within_cold_rate(self, state, now_s):
        if self._cold_rate_per_s is None:
            return True
        return state.cold_rate.allows_request(
            self._cold_rate_per_s,
            now_s=now_s,
            random_fraction=self._random_fraction,
        )

    def _limit(self, target):
        if self._is_engine:
            return min(target.slots, self._policy.engine_requests_per_target)
        return target.slots

    def _score(self, state, loads_by_group, now_s):
        """Return a tuple that sorts lower for a better target.

        A target that a hint reports as leaving comes last. The engines of a
        group run each step together, so they are compared by their share of
        used capacity, which a limit of their group reduces. Other targets are
        compared by their expected latency. Both measures grow with the
        failure rate.
        """
        target = state.target
        in_flight = self.in_flight(target.target_id)
        failure_rate = state.health.failure_rate(now_s=now_s)
        failure_penalty = conf.FAILURE_PENALTY * failure_rate
        is_remote = target.data_centre != self._own_data_centre
        is_hinted = self.notices.has_leaving_hint(target, now_s=now_s)
        if self._is_engine:
            load = loads_by_group.get(_find_group(target))
            capacity = self._limit(target)
            if load is not None and load.limit is not None:
                capacity *= load.limit / load.slots
            return (
                is_hinted,
                in_flight / capacity + failure_penalty,
                is_remote,
            )
        latency_s = state.health.latency_s or self._lowest_latency_s()
        expected_s = latency_s * (in_flight + 1) * (1 + 2 * failure_penalty)
        return (is_hinted, expected_s, is_remote)

    def _lowest_latency_s(self):
        latencies_s = [
            state.health.latency_s
            for state in self._all_states()
            if state.health.latency_s is not None
        ]
        return min(latencies_s, default=1.0)
