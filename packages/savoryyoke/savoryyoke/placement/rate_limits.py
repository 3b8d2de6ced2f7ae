"""Share the rate limits that targets state among all entries."""

import collections
import dataclasses
import math

from savoryyoke.placement import conf
from savoryyoke.placement import notices


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateReport:
    """Report the state of a target's rate limit at an entry.

    ``limit_per_s`` is None if the target no longer states a limit, ``age_s``
    is the time since its last statement. ``sent_count`` grows with each
    request that the entry sends to the target. ``demand_per_s`` is the rate at
    which the entry receives requests for the target's service.
    """

    target_id: str
    incarnation: int
    limit_per_s: float | None
    age_s: float
    sent_count: int
    demand_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PeerCount:
    """Hold the last ``sent_count`` of one incarnation of a peer."""

    peer_incarnation: int
    sent_count: int


class _Demand:
    """Measure the rate of requests as an exponential moving average."""

    def __init__(self):
        self._weighted_count = 0.0
        self._updated_s = 0.0

    def record(self, now_s):
        self._decay(now_s)
        self._weighted_count += 1.0

    def rate_per_s(self, now_s):
        self._decay(now_s)
        return self._weighted_count / conf.DEMAND_WINDOW_S

    def _decay(self, now_s):
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._weighted_count *= math.exp(-elapsed_s / conf.DEMAND_WINDOW_S)
        self._updated_s = now_s


class _RateLimit:
    """Estimate how much of one target's rate limit is unused.

    ``level`` is that of a leaky bucket that holds the requests of all entries,
    as far as this entry has been informed.
    """

    def __init__(self, *, limit_per_s, heard_s, now_s):
        self.limit_per_s = limit_per_s
        self.heard_s = heard_s
        self.sent_count = 0
        self.level = self.capacity
        self._updated_s = now_s
        self._counts_by_peer = {}
        self._interval_number = None
        self._claims_by_reserve = {}

    @property
    def rate_per_s(self):
        """Return the rate of requests to send; 0 without a limit.

        It is never zero under a limit, because only an answer can end it.
        """
        if self.limit_per_s is None:
            return 0.0
        return max(self.limit_per_s, conf.LOWEST_RATE_PER_S)

    @property
    def capacity(self):
        """Return the number of requests that may be sent at once."""
        return self.rate_per_s * conf.RATE_BURST_S + conf.RATE_BURST_REQUESTS

    def state(self, limit_per_s, *, heard_s, now_s):
        """Record what the target states from now on.

        A bucket that becomes smaller is at most full.
        """
        previous_per_s = self.limit_per_s
        self.limit_per_s = limit_per_s
        self.heard_s = heard_s
        if previous_per_s is None:
            self.level = self.capacity
            self._updated_s = now_s
        elif self.rate_per_s < previous_per_s:
            self.level = min(self.level, self.capacity)

    def record_sent(self):
        """Record a request of this entry."""
        self.sent_count += 1
        self.level += 1
        for reserve, claims in self._claims_by_reserve.items():
            self._claims_by_reserve[reserve] = max(claims - 1, 0)

    def record_peer_count(self, peer_id, count):
        """Record the requests that a peer has sent since its last report.

        A first report shows only where the peer's counter stands.
        """
        previous = self._counts_by_peer.get(peer_id)
        self._counts_by_peer[peer_id] = count
        if previous is None:
            return
        if previous.peer_incarnation != count.peer_incarnation:
            self.level += count.sent_count
        else:
            self.level += max(count.sent_count - previous.sent_count, 0)

    def forget_peer(self, peer_id):
        """Forget where the counter of a peer stands.

        What it sends unheard comes out of its own part of the limit, so it is
        not counted when the peer is heard again.
        """
        self._counts_by_peer.pop(peer_id, None)

    def advance(self, *, drain_share, now_s):
        """Apply the time that has passed to the level."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        drained = elapsed_s * self.rate_per_s * drain_share
        self.level = max(self.level - drained, 0.0)
        self._updated_s = now_s

    def allows_request(
        self, *, weight, demand_per_s, reserve, now_s, random_fraction
    ):
        """Return whether this entry may send a request now.

        ``reserve`` is the room that the bucket must keep. ``demand_per_s``
        is the rate of this entry's requests that are as urgent or more.
        """
        free = self.capacity - self.level - reserve
        if free < 1:
            return False
        expected_requests = demand_per_s * conf.CLAIM_INTERVAL_S
        if expected_requests <= free * weight:
            return True
        interval_number = now_s // conf.CLAIM_INTERVAL_S
        if interval_number != self._interval_number:
            self._interval_number = interval_number
            self._claims_by_reserve = {}
        if reserve not in self._claims_by_reserve:
            quota = free * conf.RATE_CLAIM_SHARE * weight
            # An interval without a request leaves its quota unused.
            quota /= min(expected_requests, 1.0)
            self._claims_by_reserve[reserve] = int(quota + random_fraction())
        return self._claims_by_reserve[reserve] > 0


class RateLimits:
    """Own the rate limits of one service's targets, by incarnation.

    A rate limit is the number of requests per second that a target takes from
    all entries together. It holds from the answer that states it until an
    answer without it.

    Entries report to each other how many requests they send to a limited
    target. Each of them fills a leaky bucket with all of these requests, and
    sends a request only while the bucket has room. Reports are late, so an
    entry that gets many requests may claim only a part of the room in each
    ``CLAIM_INTERVAL_S``, in proportion to its share of the demand. Less
    urgent requests leave some room while there are more urgent ones.

    The bucket drains at the part of the limit that belongs to this entry and
    those whose heartbeats arrive, so that the others can use the rest.

    ``random_fraction`` is a function that returns a random number from 0 to 1.
    """

    def __init__(self, *, random_fraction):
        self._random_fraction = random_fraction
        self._limits_by_key = {}
        self._demands_by_priority = collections.defaultdict(_Demand)
        self._demands_by_peer = {}
        self._known_count = 1
        self._heard_count = 1

    def set_entry_counts(self, *, known, heard):
        """Set how many entries there are and how many are heard.

        Both numbers include this entry.
        """
        self._known_count = max(known, heard)
        self._heard_count = heard

    def limit_per_s(self, target):
        """Return the rate limit of a target, or None without one."""
        limit = self._find(target)
        return None if limit is None else limit.limit_per_s

    def limited_count(self):
        """Return how many incarnations of targets have a rate limit."""
        return sum(
            limit.limit_per_s is not None
            for limit in self._limits_by_key.values()
        )

    def record_answer(self, target, *, limit_per_s, asked_s, now_s):
        """Record the limit in an answer to a request sent at ``asked_s``.

        ``limit_per_s`` is None for an answer that states no limit. Answers
        can overtake each other, so an answer whose request was sent before the
        last statement arrived can lower the limit but neither raise nor end
        it. The end takes effect only if the request was sent
        ``RATE_LIMIT_END_S`` after the last statement, because some kinds of
        answers may lack the statement.
        """
        limit = self._find(target)
        current_per_s = None if limit is None else limit.limit_per_s
        if limit_per_s is None:
            is_newer = (
                current_per_s is not None
                and asked_s >= limit.heard_s + conf.RATE_LIMIT_END_S
            )
        else:
            is_newer = (
                current_per_s is None
                or limit_per_s <= current_per_s
                or asked_s >= limit.heard_s
            )
        if is_newer:
            self._state(
                notices.build_key(target),
                limit_per_s,
                heard_s=now_s,
                now_s=now_s,
            )

    def record_demand(self, *, priority, now_s):
        """Record that a request needs a target of the service."""
        self._demands_by_priority[priority].record(now_s)

    def record_sent(self, target, *, now_s):
        """Record that a request is sent to a target."""
        limit = self._find(target)
        if limit is not None:
            self._advance(limit, now_s)
            limit.record_sent()

    def add_reports(self, reports, *, peer_id, peer_incarnation, now_s):
        """Add the ``RateReport`` objects of another entry."""
        for report in reports:
            heard_s = now_s - max(report.age_s, 0.0)
            limit = self._find(report)
            if limit is None and report.limit_per_s is None:
                continue
            if limit is None or heard_s > limit.heard_s:
                self._state(
                    notices.build_key(report),
                    report.limit_per_s,
                    heard_s=heard_s,
                    now_s=now_s,
                )
            limit = self._find(report)
            self._advance(limit, now_s)
            limit.record_peer_count(
                peer_id,
                _PeerCount(
                    peer_incarnation=peer_incarnation,
                    sent_count=report.sent_count,
                ),
            )
            self._demands_by_peer[peer_id] = report.demand_per_s

    def remove_peer(self, peer_id):
        """Remove what a peer that is no longer heard has reported."""
        self._demands_by_peer.pop(peer_id, None)
        for limit in self._limits_by_key.values():
            limit.forget_peer(peer_id)

    def reports(self, *, now_s):
        """Return the reports of this entry, and remove old limits."""
        self._remove_old(now_s)
        demand_per_s = round(self._own_demand_per_s(now_s), 1)
        return tuple(
            RateReport(
                target_id=target_id,
                incarnation=incarnation,
                limit_per_s=limit.limit_per_s,
                age_s=now_s - limit.heard_s,
                sent_count=limit.sent_count,
                demand_per_s=demand_per_s,
            )
            for (target_id, incarnation), limit in self._limits_by_key.items()
        )

    def allows_request(self, target, *, priority, now_s):
        """Return whether a request may be sent to a target now.

        A request leaves some room if there is demand for more urgent ones. A
        lower ``priority`` is more urgent.
        """
        limit = self._find(target)
        if limit is None or limit.limit_per_s is None:
            return True
        self._advance(limit, now_s)
        return limit.allows_request(
            weight=self._weight(now_s),
            demand_per_s=self._own_demand_per_s(now_s, priority=priority),
            reserve=self._reserve(priority, now_s),
            now_s=now_s,
            random_fraction=self._random_fraction,
        )

    def supply_per_s(self, target, *, now_s):
        """Return the rate at which this entry can probably send requests.

        The target must have a rate limit.
        """
        limit = self._find(target)
        self._advance(limit, now_s)
        claimable = (limit.capacity - limit.level) * conf.RATE_CLAIM_SHARE
        rate_per_s = max(
            limit.rate_per_s * self._drain_share(),
            claimable / conf.CLAIM_INTERVAL_S,
        )
        return rate_per_s * self._weight(now_s)

    def _find(self, target):
        """Return the limit of a target, or of the target of a report."""
        return self._limits_by_key.get(notices.build_key(target))

    def _state(self, key, limit_per_s, *, heard_s, now_s):
        limit = self._limits_by_key.get(key)
        if limit is None:
            self._limits_by_key[key] = _RateLimit(
                limit_per_s=limit_per_s, heard_s=heard_s, now_s=now_s
            )
        else:
            limit.state(limit_per_s, heard_s=heard_s, now_s=now_s)

    def _advance(self, limit, now_s):
        limit.advance(drain_share=self._drain_share(), now_s=now_s)

    def _drain_share(self):
        return self._heard_count / self._known_count

    def _own_demand_per_s(self, now_s, *, priority=math.inf):
        """Return the rate of requests that are as urgent or more."""
        return sum(
            demand.rate_per_s(now_s)
            for other_priority, demand in self._demands_by_priority.items()
            if other_priority <= priority
        )

    def _reserve(self, priority, now_s):
        """Return the room to leave for more urgent requests."""
        has_more_urgent = any(
            other_priority < priority
            and demand.rate_per_s(now_s) > conf.LOWEST_DEMAND_PER_S
            for other_priority, demand in self._demands_by_priority.items()
        )
        return conf.RATE_RESERVE_REQUESTS if has_more_urgent else 0.0

    def _weight(self, now_s):
        """Return this entry's share of the demand that has been reported.

        Entries without demand keep a small share for sudden requests.
        """
        own_per_s = self._own_demand_per_s(now_s) + conf.LOWEST_DEMAND_PER_S
        others_per_s = sum(self._demands_by_peer.values())
        others_per_s += (self._heard_count - 1) * conf.LOWEST_DEMAND_PER_S
        return own_per_s / (own_per_s + others_per_s)

    def _remove_old(self, now_s):
        """Remove limits that have ended or were stated long ago."""
        self._limits_by_key = {
            key: limit
            for key, limit in self._limits_by_key.items()
            if now_s - limit.heard_s
            < (
                conf.RATE_LIMIT_END_LIFETIME_S
                if limit.limit_per_s is None
                else conf.RATE_LIMIT_LIFETIME_S
            )
        }
