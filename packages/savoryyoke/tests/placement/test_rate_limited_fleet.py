"""Play the load of a fleet whose targets limit their rates."""

import collections
import dataclasses
import heapq
import itertools
import random
import unittest

from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import models

from tests.placement import fleet_entries

# The users' requirement, see the platform's ``test_rate_limits``.
LEARNING_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
SEEDS = (1,)
WAIT_S = 0.25
SERVICE_S = 0.5
TRAVEL_S = 0.01
URGENT_SHARE = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Play:
    """Describe the fleet and its load.

    ``limits`` holds pairs of a time and the limits that the targets state from
    then on, None for no limit. Callers choose an entry by ``weights``; an
    empty tuple gives all the same. A part ``loss`` of the reports is lost.
    ``silences`` holds tuples of a start, an end and the entries that exchange
    no reports with the others meanwhile. Entries of ``restarts_s`` lose all
    state at that time.
    """

    limits: tuple
    requests_per_s: float
    entries: int = 8
    slots: int = 6
    report_interval_s: float = 0.1
    loss: float = 0.02
    weights: tuple[float, ...] = ()
    silences: tuple = ()
    restarts_s: tuple = ()
    seconds: float = 16.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Record a refused request."""

    at_s: float
    waited_s: float
    reason: models.RefusalReason
    retry_after_s: float


class Fleet:
    """Place requests and record what targets and callers see."""

    def __init__(self, *, play, seed):
        self._play = play
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._agenda = []
        self._requests_by_id = {}
        self._limits = (None,) * len(play.limits[0][1])
        self._entries = [self._build_entry() for _ in range(play.entries)]
        self._incarnations = [1] * play.entries
        self.arrivals_by_target = collections.defaultdict(list)
        self.served = collections.Counter()
        self.sent = collections.Counter()
        self.refusals = []

    def _build_entry(self):
        return fleet_entries.build_entry(
            target_count=len(self._limits),
            slots=self._play.slots,
            random_fraction=self._random.random,
        )

    def run(self):
        """Play the load."""
        for at_s, limits in self._play.limits:
            self._schedule(at_s, self._state_limits, limits)
        for at_s, number in self._play.restarts_s:
            self._schedule(at_s, self._restart, number)
        for number in range(self._play.entries):
            self._schedule(
                self._play.report_interval_s * self._random.random(),
                self._report,
                number,
            )
        self._schedule(0.0, self._arrive)
        while self._agenda:
            now_s, _, action, arguments = heapq.heappop(self._agenda)
            if now_s > self._play.seconds:
                break
            action(now_s, *arguments)

    def _schedule(self, at_s, action, *arguments):
        heapq.heappush(
            self._agenda, (at_s, next(self._numbers), action, arguments)
        )

    def _state_limits(self, now_s, limits):
        self._limits = limits

    def _restart(self, now_s, number):
        self._entries[number] = self._build_entry()
        self._incarnations[number] += 1

    def _hear_each_other(self, now_s, one, other):
        return not any(
            start_s <= now_s < end_s and (one in silent) != (other in silent)
            for start_s, end_s, silent in self._play.silences
        )

    def _report(self, now_s, number):
        peers = [
            other
            for other in range(self._play.entries)
            if other != number and self._hear_each_other(now_s, number, other)
        ]
        entry = self._entries[number]
        entry.pool.rate_limits.set_entry_counts(
            known=self._play.entries, heard=1 + len(peers)
        )
        own = entry.pool.own_in_flight()
        reports = entry.pool.rate_limits.reports(now_s=now_s)
        for other in peers:
            if self._random.random() >= self._play.loss:
                self._schedule(
                    now_s + TRAVEL_S,
                    self._deliver,
                    number,
                    other,
                    own,
                    reports,
                )
        self._apply(now_s, number, events.Ticked())
        self._schedule(
            now_s + self._play.report_interval_s, self._report, number
        )

    def _deliver(self, now_s, sender, receiver, in_flight, reports):
        self._apply(
            now_s,
            receiver,
            events.PeerReported(
                peer_id=str(sender), requests_by_target_id=in_flight
            ),
        )
        self._apply(
            now_s,
            receiver,
            events.RateLimitsReported(
                peer_id=str(sender),
                peer_incarnation=self._incarnations[sender],
                reports=reports,
            ),
        )

    def _arrive(self, now_s):
        weights = self._play.weights or (1.0,) * self._play.entries
        (number,) = self._random.choices(range(self._play.entries), weights)
        request_id = str(next(self._numbers))
        priority = 0 if self._random.random() < URGENT_SHARE else 1
        self._requests_by_id[request_id] = (now_s, priority)
        self.sent[priority] += 1
        self._apply(
            now_s,
            number,
            events.RequestArrived(
                request_id=request_id,
                is_on_time=True,
                priority=priority,
                wait_until_s=now_s + WAIT_S,
                time_left_s=8.0,
            ),
        )
        self._schedule(
            now_s + self._random.expovariate(self._play.requests_per_s),
            self._arrive,
        )

    def _apply(self, now_s, number, event):
        for decision in self._entries[number].apply(event, now_s=now_s):
            arrived_s, priority = self._requests_by_id[decision.request_id]
            if isinstance(decision, decisions.Place):
                self.served[priority] += 1
                self._schedule(
                    now_s + TRAVEL_S, self._begin, number, decision.target
                )
            else:
                self.refusals.append(
                    Refusal(
                        at_s=now_s,
                        waited_s=now_s - arrived_s,
                        reason=decision.reason,
                        retry_after_s=decision.retry_after_s,
                    )
                )

    def _begin(self, now_s, number, target):
        self.arrivals_by_target[int(target.target_id)].append(now_s)
        self._schedule(
            now_s + 0.1 * self._random.random(),
            self._answer,
            number,
            target,
            now_s - TRAVEL_S,
        )
        self._schedule(
            now_s + SERVICE_S * self._random.uniform(0.5, 1.5),
            self._end,
            number,
            target,
        )

    def _answer(self, now_s, number, target, asked_s):
        self._apply(
            now_s,
            number,
            events.RateLimitAnswered(
                target=target,
                limit_per_s=self._limits[int(target.target_id)],
                asked_s=asked_s,
            ),
        )

    def _end(self, now_s, number, target):
        self._apply(
            now_s,
            number,
            events.TryEnded(
                target_id=target.target_id,
                incarnation=target.incarnation,
                result=models.TryResult.ANSWERED,
                latency_s=0.2,
                service_time_s=SERVICE_S,
            ),
        )

    def most_in_window(self, target, *, from_s, until_s):
        """Return the most arrivals of a target in any ``WINDOW_S``."""
        times_s = [
            at_s
            for at_s in self.arrivals_by_target[target]
            if from_s <= at_s < until_s
        ]
        return max(
            (
                sum(start <= at_s <= start + WINDOW_S for at_s in times_s)
                for start in times_s
            ),
            default=0,
        )

    def arrival_rate_per_s(self, target, *, from_s, until_s):
        """Return the mean rate of arrivals of a target."""
        count = sum(
            from_s <= at_s < until_s
            for at_s in self.arrivals_by_target[target]
        )
        return count / (until_s - from_s)


class FleetCase(unittest.TestCase):
    """Check what targets and callers get in plays with several seeds."""

    @staticmethod
    def play(**changes):
        """Return the played fleets, one a seed."""
        fleets = []
        for seed in SEEDS:
            fleet = Fleet(play=Play(**changes), seed=seed)
            fleet.run()
            fleets.append(fleet)
        return fleets

    def assert_kept(self, fleets, limits, *, from_s=LEARNING_S, until_s=16.0):
        """Check the limits that all entries together must keep."""
        for seed, fleet in zip(SEEDS, fleets, strict=True):
            for target, limit_per_s in enumerate(limits):
                if limit_per_s is None:
                    continue
                most = fleet.most_in_window(
                    target, from_s=from_s, until_s=until_s
                )
                allowed = TOLERANCE * limit_per_s * WINDOW_S + SLACK
                self.assertLessEqual(most, allowed, (seed, target))

    def mean_use(self, fleets, limits, *, from_s=LEARNING_S, until_s=16.0):
        """Return the part of the limits that is used."""
        used = sum(
            fleet.arrival_rate_per_s(target, from_s=from_s, until_s=until_s)
            for fleet in fleets
            for target, limit_per_s in enumerate(limits)
            if limit_per_s is not None
        )
        usable = sum(limit or 0.0 for limit in limits) * len(fleets)
        return used / usable


class KeptRateLimitTests(FleetCase):
    """Check the users' bound in each window after they stated a limit."""

    def check(self, limits, **changes):
        fleets = self.play(limits=((0.0, limits),), **changes)
        self.assert_kept(fleets, limits)
        return fleets

    def test_low_limits_of_all_targets(self):
        self.check((1.0,) * 12, requests_per_s=60.0)

    def test_lowest_limits(self):
        self.check((0.0, 0.05, 0.2, 0.4), requests_per_s=40.0)

    def test_high_limits(self):
        self.check((8.0, 20.0, 40.0), requests_per_s=120.0, slots=40)

    def test_one_limited_target_beside_full_ones(self):
        self.check((1.0, None, None), requests_per_s=60.0)

    def test_large_fleet(self):
        self.check(
            (1.0,) * 12,
            requests_per_s=60.0,
            entries=44,
            report_interval_s=0.3,
        )

    def test_lossy_links(self):
        self.check((1.0,) * 12, requests_per_s=60.0, loss=0.3)

    def test_uneven_callers(self):
        self.check(
            (1.0, 2.0, 4.0),
            requests_per_s=40.0,
            weights=(10.0, 5.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.1),
        )

    def test_two_halves_that_do_not_hear_each_other(self):
        self.check(
            (6.0,) * 4,
            requests_per_s=60.0,
            slots=40,
            silences=((5.0, 11.0, frozenset(range(4))),),
        )

    def test_entries_that_restart_in_turn(self):
        self.check(
            (1.0,) * 12,
            requests_per_s=60.0,
            restarts_s=tuple((5.0 + number, number) for number in range(8)),
        )

    def test_limit_that_falls(self):
        fleets = self.play(
            limits=((0.0, (8.0,) * 4), (6.0, (1.0,) * 4)), requests_per_s=60.0
        )
        self.assert_kept(fleets, (1.0,) * 4, from_s=6.0 + LEARNING_S)


class UsedRateLimitTests(FleetCase):
    """Check that callers get most of what limited targets take."""

    def test_overload(self):
        limits = (1.0,) * 12
        fleets = self.play(limits=((0.0, limits),), requests_per_s=60.0)
        self.assertGreater(self.mean_use(fleets, limits), 0.85)

    def test_overload_at_a_single_entry(self):
        limits = (1.0,) * 12
        fleets = self.play(
            limits=((0.0, limits),),
            requests_per_s=40.0,
            weights=(1.0,) + (0.0,) * 7,
        )
        self.assertGreater(self.mean_use(fleets, limits), 0.85)

    def test_little_load_is_served(self):
        for entries in (8, 44):
            fleets = self.play(
                limits=((0.0, (1.0,) * 4),),
                requests_per_s=2.0,
                entries=entries,
                report_interval_s=0.1 if entries == 8 else 0.3,
                seconds=90.0,
            )
            served = sum(fleet.served.total() for fleet in fleets)
            sent = sum(fleet.sent.total() for fleet in fleets)
            self.assertGreater(served / sent, 0.97, entries)

    def test_other_targets_serve_the_rest(self):
        fleets = self.play(
            limits=((0.0, (1.0,) * 4 + (None,) * 8),), requests_per_s=40.0
        )
        served = sum(fleet.served.total() for fleet in fleets)
        sent = sum(fleet.sent.total() for fleet in fleets)
        self.assertGreater(served / sent, 0.99)

    def test_all_is_served_after_the_end(self):
        fleets = self.play(
            limits=((0.0, (1.0,) * 12), (8.0, (None,) * 12)),
            requests_per_s=40.0,
        )
        for fleet in fleets:
            refused = [
                refusal
                for refusal in fleet.refusals
                if refusal.at_s > 8.0 + LEARNING_S
            ]
            self.assertEqual([], refused)


class RefusalTests(FleetCase):
    """Check what callers get that all targets together can't serve."""

    @classmethod
    def setUpClass(cls):
        cls.fleets = cls.play(
            limits=((0.0, (1.0,) * 12),), requests_per_s=36.0, slots=40
        )

    def test_refused_at_once_with_the_time_of_their_turn(self):
        refusals = [
            refusal
            for fleet in self.fleets
            for refusal in fleet.refusals
            if refusal.reason is models.RefusalReason.RATE_LIMITED
        ]
        at_once = sum(refusal.waited_s < 0.01 for refusal in refusals)
        self.assertGreater(at_once / len(refusals), 0.7)
        # Twelve targets take one request a second, an eighth of which is
        # this entry's part.
        for refusal in refusals:
            self.assertGreater(refusal.retry_after_s, 0.0)
            self.assertLess(refusal.retry_after_s, 10.0)

    def test_urgent_requests_are_served_first_and_others_not_starved(self):
        served = collections.Counter()
        sent = collections.Counter()
        for fleet in self.fleets:
            served.update(fleet.served)
            sent.update(fleet.sent)
        urgent_share = served[0] / sent[0]
        other_share = served[1] / sent[1]
        self.assertGreater(urgent_share, 1.5 * other_share)
        # The users' requirement is a quarter.
        self.assertGreater(other_share, served.total() / sent.total() / 4)
