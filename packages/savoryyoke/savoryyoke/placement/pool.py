"""Know the targets of a service and rank them for the next request."""

import collections

from savoryyoke.placement import conf
from savoryyoke.placement import health
from savoryyoke.placement import notices


class _ColdRate:
    """Bound what one entry sends to one target in a second.

    Where an entry's share is below one request, each second draws anew
    which entries may send one: rounding up would break the sum. Draws are
    spread by themselves and need none of what ``COLD_SHARE`` keeps back.
    """

    def __init__(self):
        self._sent_s = collections.deque()
        self._window = None
        self._is_drawn = False

    def note_sent(self, now_s):
        """Count a request."""
        self._sent_s.append(now_s)

    def has_room(self, rate_per_s, *, now_s, draw):
        """Return whether a further request keeps to the rate."""
        while self._sent_s and now_s - self._sent_s[0] > conf.COLD_WINDOW_S:
            self._sent_s.popleft()
        if rate_per_s >= 1:
            return len(self._sent_s) < rate_per_s
        window = now_s // conf.COLD_WINDOW_S
        if window != self._window:
            self._window = window
            self._is_drawn = draw() < rate_per_s / conf.COLD_SHARE
        return self._is_drawn and not self._sent_s


class _TargetState:
    """Hold what this entry knows of one incarnation of a target."""

    def __init__(self, *, target, now_s):
        self.target = target
        self.health = health.TargetHealth(now_s=now_s)
        self.own_in_flight = 0
        self.cold_rate = _ColdRate()


class TargetPool:
    """Own the targets of one service, as one entry sees them.

    ``is_engine`` tells services whose targets batch requests from those
    that serve each one by itself.
    """

    def __init__(self, *, policy, is_engine, own_data_centre, draw):
        self._policy = policy
        self._is_engine = is_engine
        self._own_data_centre = own_data_centre
        self._draw = draw
        self._cold_rate_per_s = None
        self._states_by_id = {}
        self._paces_by_address = {}
        self._requests_by_target_by_peer = {}
        self._peer_requests_by_target = collections.Counter()
        self.notices = notices.TargetNotices()

    def set_cold_rate(self, rate_per_s):
        """Bound what this entry sends a target in a second; None: no bound."""
        self._cold_rate_per_s = rate_per_s

    def set_paces(self, paces_by_address):
        """Take over the paces of slow targets; others have the usual one."""
        self._paces_by_address = paces_by_address

    def replace_targets(self, targets, *, now_s):
        """Take over the published targets; keep evidence on known ones."""
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

    def note_peer(self, peer_id, requests_by_target_id):
        """Take over what a peer has in flight."""
        self.drop_peer(peer_id)
        self._requests_by_target_by_peer[peer_id] = requests_by_target_id
        self._peer_requests_by_target.update(requests_by_target_id)

    def drop_peer(self, peer_id):
        """Forget what a peer had in flight."""
        known = self._requests_by_target_by_peer.pop(peer_id, {})
        for target_id, requests in known.items():
            left = self._peer_requests_by_target[target_id] - requests
            if left:
                self._peer_requests_by_target[target_id] = left
            else:
                del self._peer_requests_by_target[target_id]

    def own_in_flight(self):
        """Return this entry's requests in flight by target id."""
        return {
            target_id: state.own_in_flight
            for target_id, state in self._states_by_id.items()
            if state.own_in_flight
        }

    def holds_group_up(self, target_id):
        """Return whether a target is slower than most of its group."""
        state = self._states_by_id.get(target_id)
        if state is None or not self._is_engine:
            return False
        return self._holds_group_up(state)

    def in_flight(self, target_id):
        """Return what all entries are known to have at a target."""
        state = self._states_by_id.get(target_id)
        own = state.own_in_flight if state else 0
        return own + self._peer_requests_by_target[target_id]

    def take(self, target_id, *, now_s):
        """Count a request that is sent to a target."""
        state = self._states_by_id[target_id]
        state.own_in_flight += 1
        state.cold_rate.note_sent(now_s)

    def release(self, event, *, now_s):
        """Count the end of a try; ignore targets that have been replaced."""
        state = self._states_by_id.get(event.target_id)
        if state is None or state.target.incarnation != event.incarnation:
            return
        state.own_in_flight = max(state.own_in_flight - 1, 0)
        state.health.note(event.result, latency_s=event.latency_s, now_s=now_s)

    def releases(self):
        """Return the releases that the targets run."""
        return frozenset(x.target.release for x in self._all_states())

    def serves(self, *, regions=frozenset(), withheld_releases=frozenset()):
        """Return whether any target could run a request at all."""
        return any(
            self._is_usable(x, regions, withheld_releases)
            for x in self._all_states()
        )

    def lists(self, *, regions=frozenset()):
        """Return whether any target may come into service."""
        return any(
            not self._is_leaving(state.target)
            and (not regions or state.target.region in regions)
            for state in self._all_states()
        )

    def all_paused_until_s(
        self, *, now_s, regions=frozenset(), withheld_releases=frozenset()
    ):
        """Return when the first pause ends; None if any target has none."""
        if not self.notices.has_pauses:
            return None
        ends_s = [
            self.notices.pause_end_s(state.target, now_s=now_s)
            for state in self._all_states()
            if self._is_usable(state, regions, withheld_releases)
        ]
        if not ends_s or None in ends_s:
            return None
        return min(ends_s)

    def choose(
        self,
        *,
        now_s,
        regions=frozenset(),
        excluded=frozenset(),
        withheld_releases=frozenset(),
    ):
        """Return the best target with room, or None."""
        ranked = [
            (self._score(state, now_s), self._draw(), state.target)
            for state in self._all_states()
            if state.target.target_id not in excluded
            and self._is_usable(state, regions, withheld_releases)
            and self._has_room(state, now_s)
        ]
        if not ranked:
            return None
        return min(ranked, key=lambda item: item[:2])[2]

    def _all_states(self):
        return self._states_by_id.values()

    def _is_leaving(self, target):
        return target.is_draining or self.notices.is_leaving(target)

    def _is_usable(self, state, regions, withheld_releases):
        target = state.target
        return (
            target.is_in_service
            and not self._is_leaving(target)
            and (not regions or target.region in regions)
            and target.release not in withheld_releases
        )

    def _has_room(self, state, now_s):
        if state.health.is_avoided(now_s=now_s):
            return False
        if not self._has_cold_room(state, now_s):
            return False
        most = self.notices.most_in_flight(state.target, now_s=now_s)
        if most is not None and state.own_in_flight >= most:
            return False
        if self._is_engine and self._holds_group_up(state):
            return False
        target = state.target
        return self.in_flight(target.target_id) < self._limit(target)

    def _holds_group_up(self, state):
        """Return whether a rank is slower than most of its group."""
        if not self._is_slow(state.target):
            return False
        slow = sum(self._is_slow(x.target) for x in self._all_states())
        return 2 * slow < len(self._states_by_id)

    def _is_slow(self, target):
        address = f'{target.host}:{target.port}'
        return self._paces_by_address.get(address, 1.0) >= conf.SLOW_PACE

    def _has_cold_room(self, state, now_s):
        if self._cold_rate_per_s is None:
            return True
        return state.cold_rate.has_room(
            self._cold_rate_per_s, now_s=now_s, draw=self._draw
        )

    def _limit(self, target):
        if self._is_engine:
            return min(target.slots, self._policy.engine_requests_per_target)
        return target.slots

    def _score(self, state, now_s):
        """Return a lower value for a better target.

        One that is said to leave comes last. Engines of a group advance
        together, so only the even spread of requests counts. Other targets
        rank by their expected answer time.
        """
        target = state.target
        in_flight = self.in_flight(target.target_id)
        failures = state.health.failure_rate(now_s=now_s)
        penalty = conf.FAILURE_PENALTY * failures
        away = target.data_centre != self._own_data_centre
        hinted = self.notices.is_hinted(target, now_s=now_s)
        if self._is_engine:
            return (hinted, in_flight / self._limit(target) + penalty, away)
        latency_s = state.health.latency_s or self._usual_latency_s()
        expected_s = latency_s * (in_flight + 1) * (1 + 2 * penalty)
        return (hinted, expected_s, away)

    def _usual_latency_s(self):
        known = [
            state.health.latency_s
            for state in self._all_states()
            if state.health.latency_s is not None
        ]
        return min(known, default=1.0)
