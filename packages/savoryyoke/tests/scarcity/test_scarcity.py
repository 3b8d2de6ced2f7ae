"""Test the parts of the scarcity account."""

import dataclasses
import random
import unittest

from savoryyoke.placement import events
from savoryyoke.scarcity import account
from savoryyoke.scarcity import conf
from savoryyoke.scarcity import histories
from savoryyoke.scarcity import limits
from savoryyoke.scarcity import models
from savoryyoke.scarcity import paces
from savoryyoke.scarcity import returns
from savoryyoke.scarcity import work

TERMS = models.Terms(priorities=(0, 1, 2), pause_limit_s=0.15)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Destination:
    service_name: str = 'engines'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    priority: int
    pause_limit_s: float | None = 0.15
    destinations: tuple = (Destination(),)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    prompt_tokens: int
    answer_tokens: int


class TermsTests(unittest.TestCase):
    """Guard against terms where nothing in the configuration asks for them."""

    def find(self, *routes, teams=()):
        return models.find_terms_by_service(routes=routes, teams=teams)

    def test_one_priority_has_no_terms(self):
        self.assertEqual({}, self.find(Route(priority=1), Route(priority=1)))

    def test_priorities_of_routes_without_a_pause_limit_do_not_count(self):
        plain_route = Route(priority=2, pause_limit_s=None)
        self.assertEqual({}, self.find(Route(priority=1), plain_route))

    def test_different_priorities(self):
        terms = self.find(
            Route(priority=2, pause_limit_s=0.2), Route(priority=0)
        )['engines']
        self.assertEqual((0, 2), terms.priorities)
        self.assertEqual(0.15, terms.pause_limit_s)

    def test_priorities_of_teams_alone_give_no_terms(self):
        teams = [Team(name='a', priority=0), Team(name='b', priority=1)]
        self.assertEqual({}, self.find(Route(priority=1), teams=teams))

    def test_team_priority_takes_precedence(self):
        teams = [
            Team(name=str(number), priority=priority)
            for number, priority in enumerate((0, 1, 1, 1, 2))
        ]
        terms = self.find(Route(priority=0), Route(priority=2), teams=teams)
        levels = [
            [
                terms['engines'].find_level(
                    priority=priority, team_priority=team_priority
                )
                for priority in (0, 2)
            ]
            for team_priority in (0, 1, None, 2)
        ]
        self.assertEqual([[0, 0], [0, 1], [0, 1], [1, 2]], levels)


class PacesTests(unittest.TestCase):
    """Guard against limits that follow old or exceptional pauses."""

    def test_old_estimate_is_not_used(self):
        measured = paces.Paces()
        measured.record('g', 0.1, longest_s=1.0, now_s=5.0)
        self.assertEqual(0.1, measured.find('g', now_s=6.0))
        self.assertIsNone(measured.find('g', now_s=6.1))

    def test_mean_follows_within_its_time_constant(self):
        measured = paces.Paces()
        for number in range(200):
            pause_s = 0.1 if number < 100 else 0.2
            measured.record('g', pause_s, longest_s=1.0, now_s=number * 0.01)
        self.assertAlmostEqual(0.19, measured.find('g', now_s=2), delta=0.01)

    def test_frozen_stream_does_not_outweigh_the_others(self):
        measured = paces.Paces()
        for number in range(100):
            measured.record('g', 0.1, longest_s=0.3, now_s=number * 0.01)
        measured.record('g', 9.0, longest_s=0.3, now_s=1.0)
        self.assertLess(measured.find('g', now_s=1.0), 0.11)


class GroupLimitTests(unittest.TestCase):
    """Guard against lasting overload and refusals without a reason."""

    def play(self, *, demand, seconds=20.0):
        """Return the requests in flight of a group with a model of its pass.

        As many requests are in flight as ``demand`` and the limit allow.
        """
        limit = limits.GroupLimit()
        in_flight = demand
        for number in range(int(seconds * 10)):
            pause_s = 0.04 + 0.001 * in_flight
            limit.update(
                in_flight=in_flight,
                slots=120,
                pause_s=pause_s,
                accepted_s=0.1,
                now_s=number * 0.1,
            )
            # Requests end only after some time, so their number follows.
            allowed = min(demand, limit.requests(slots=120))
            in_flight += 0.1 * (allowed - in_flight)
        return in_flight

    def test_overload_settles_at_the_accepted_pause(self):
        self.assertAlmostEqual(60, self.play(demand=120), delta=6)

    def test_moderate_load_is_not_limited(self):
        self.assertEqual(50, self.play(demand=50))

    def test_without_a_measured_pause_all_slots_are_used(self):
        limit = limits.GroupLimit()
        limit.update(
            in_flight=120, slots=120, pause_s=0.3, accepted_s=0.1, now_s=0.0
        )
        self.assertLess(limit.requests(slots=120), 120)
        limit.update(
            in_flight=120,
            slots=120,
            pause_s=None,
            accepted_s=0.1,
            now_s=1.0,
        )
        self.assertIsNone(limit.requests(slots=120))

    def test_group_without_slots_has_no_limit(self):
        limit = limits.GroupLimit()
        for slots, pause_s in ((0, 0.3), (120, 0.0)):
            limit.update(
                in_flight=100,
                slots=slots,
                pause_s=pause_s,
                accepted_s=0.1,
                now_s=slots,
            )
        self.assertEqual(120, limit.requests(slots=120))

    def update(self, limit, *, in_flight, pause_s, now_s):
        limit.update(
            in_flight=in_flight,
            slots=120,
            pause_s=pause_s,
            accepted_s=0.1,
            now_s=now_s,
        )

    def test_limit_keeps_the_lowest_share(self):
        limit = limits.GroupLimit()
        for number in range(50):
            self.update(limit, in_flight=60, pause_s=0.4, now_s=number)
        self.assertEqual(
            conf.LOWEST_LIMIT_SHARE * 120, limit.requests(slots=120)
        )

    def test_group_with_little_load_has_no_limit(self):
        limit = limits.GroupLimit()
        for number in range(50):
            self.update(limit, in_flight=5, pause_s=0.4, now_s=number)
        self.assertIsNone(limit.requests(slots=120))

    def test_limit_outlasts_the_long_passes_of_a_shift(self):
        """Guard against a rush of requests between two shifts of demand."""
        limit = limits.GroupLimit()
        requests = []
        for number in range(60):
            pause_s = 0.16 if number < 10 else 0.08
            self.update(
                limit, in_flight=100, pause_s=pause_s, now_s=number / 10
            )
            requests.append(limit.requests(slots=120))
        self.assertAlmostEqual(62.5, requests[40])
        self.assertEqual(120, requests[-1])


class HistoryTests(unittest.TestCase):
    """Guard against priorities and teams that are hardly served at all."""

    def record(self, history, *, priority, team, served, count):
        for number in range(count):
            history.record(
                priority=priority,
                team=team,
                work=1.0,
                is_served=number < served,
                now_s=0.0,
            )

    def test_priority_that_is_served_too_seldom_is_starved(self):
        history = histories.ServiceHistory()
        self.record(history, priority=0, team='a', served=20, count=20)
        self.record(history, priority=2, team='b', served=2, count=10)
        self.assertTrue(history.is_starved(priority=2, team='c', now_s=0.0))
        self.assertTrue(history.is_starved(priority=1, team='b', now_s=0.0))
        self.assertFalse(history.is_starved(priority=0, team='a', now_s=0.0))

    def test_few_requests_say_nothing(self):
        history = histories.ServiceHistory()
        self.record(history, priority=2, team='b', served=0, count=2)
        self.assertFalse(history.is_starved(priority=2, team='b', now_s=0.0))

    def test_old_refusals_exempt_nobody(self):
        history = histories.ServiceHistory()
        self.record(history, priority=0, team='a', served=9, count=9)
        self.record(history, priority=2, team='b', served=0, count=4)
        for now_s, is_starved in ((0.0, True), (60.0, False)):
            self.assertIs(
                is_starved,
                history.is_starved(priority=2, team='b', now_s=now_s),
            )

    def test_work_decays(self):
        history = histories.ServiceHistory()
        self.record(history, priority=0, team='a', served=8, count=8)
        self.assertEqual(8.0, history.team_work('a', now_s=0.0))
        self.assertLess(history.team_work('a', now_s=30.0), 0.5)

    def test_number_of_records_is_bounded(self):
        history = histories.ServiceHistory()
        for number in range(2 * conf.HISTORY_LIMIT):
            self.record(
                history, priority=0, team=str(number), served=1, count=1
            )
        self.assertEqual(0.0, history.team_work('0', now_s=0.0))


class ReturnTests(unittest.TestCase):
    """Guard against refused callers that return as one wave."""

    def choose(self, schedule, *, level=1, now_s=0.0):
        return schedule.choose_retry_after_s(
            level=level, longest_s=2.6, placed_per_s=20.0, now_s=now_s
        )

    def test_callers_return_one_after_the_other(self):
        schedule = returns.ReturnSchedule(
            random_fraction=random.Random(1).random
        )
        times_s = [self.choose(schedule) for _ in range(8)]
        self.assertEqual(times_s, sorted(times_s))
        self.assertGreater(times_s[-1] - times_s[0], 1.0)

    def test_times_stay_within_what_callers_honour(self):
        schedule = returns.ReturnSchedule(
            random_fraction=random.Random(1).random
        )
        times_s = [self.choose(schedule) for _ in range(200)]
        self.assertLessEqual(max(times_s), 2.6)
        self.assertGreater(min(times_s), 0.4)

    def test_callers_with_little_time_are_spread(self):
        schedule = returns.ReturnSchedule(
            random_fraction=random.Random(1).random
        )
        times_s = {
            schedule.choose_retry_after_s(
                level=2, longest_s=0.4, placed_per_s=20.0, now_s=0.0
            )
            for _ in range(20)
        }
        self.assertGreater(len(times_s), 10)
        self.assertLessEqual(max(times_s), 0.4)

    def test_callers_with_much_time_return_soon(self):
        schedule = returns.ReturnSchedule(random_fraction=lambda: 0.5)
        times_s = [
            schedule.choose_retry_after_s(
                level=1, longest_s=200.0, placed_per_s=1.0, now_s=0.0
            )
            for _ in range(100)
        ]
        self.assertLessEqual(max(times_s), conf.RETURN_MAX_S)

    def test_more_urgent_callers_return_sooner(self):
        schedule = returns.ReturnSchedule(random_fraction=lambda: 0.5)
        self.assertLess(
            self.choose(schedule, level=0), self.choose(schedule, level=2)
        )


class AccountTests(unittest.TestCase):
    """Guard against levels that don't follow urgency and lateness."""

    def build(self):
        return account.ScarcityAccount(
            terms=TERMS, random_fraction=lambda: 0.5
        )

    def test_late_request_is_one_level_lower(self):
        built = self.build()
        levels = [
            built.find_level(
                events.RequestArrived(
                    request_id='r',
                    is_on_time=is_on_time,
                    priority=1,
                    route_priority=1,
                    wait_until_s=1.0,
                    time_left_s=8.0,
                )
            )
            for is_on_time in (True, False)
        ]
        self.assertEqual([1, 2], levels)

    def test_less_urgent_levels_leave_room(self):
        built = self.build()
        allowed = [
            built.may_use(level=level, in_flight=92, limit=100)
            for level in range(4)
        ]
        self.assertEqual([True, True, False, False], allowed)

    def test_without_a_limit_each_level_may_use_all_slots(self):
        self.assertTrue(
            self.build().may_use(level=3, in_flight=119, limit=None)
        )

    def test_each_level_may_use_an_idle_group(self):
        built = self.build()
        self.assertTrue(built.may_use(level=30, in_flight=0, limit=48))
        self.assertTrue(built.may_use(level=30, in_flight=10, limit=48))

    def test_changed_terms_are_in_force_at_once(self):
        built = self.build()
        limits_by_pause = {}
        for now_s, pause_limit_s in ((1.0, 0.15), (2.0, 0.6)):
            built.terms = dataclasses.replace(
                TERMS, pause_limit_s=pause_limit_s
            )
            for step in range(8):
                at_s = now_s + step * 0.1
                built.record_pause('g', 0.2, now_s=at_s)
                limits_by_pause[pause_limit_s] = built.update_limit(
                    'g', in_flight=100, slots=120, now_s=at_s
                )
        self.assertLess(limits_by_pause[0.15], 60)
        self.assertEqual(120, limits_by_pause[0.6])

    def test_urgency_that_targets_are_told_has_one_digit(self):
        built = self.build()
        built.terms = dataclasses.replace(TERMS, priorities=tuple(range(40)))
        urgencies = [
            built.find_urgency(priority=priority, team_priority=None)
            for priority in (0, 39)
        ]
        self.assertEqual([0, models.URGENCY_MAX], urgencies)


class WorkTests(unittest.TestCase):
    """Guard against callers that gain by the sizes that they state."""

    def test_work_is_relative_to_the_mean(self):
        estimator = work.WorkEstimator()
        for _ in range(20):
            estimator.estimate(Size(prompt_tokens=800, answer_tokens=100))
        large = Size(prompt_tokens=1600, answer_tokens=200)
        self.assertAlmostEqual(2.0, estimator.estimate(large), delta=0.2)
        self.assertEqual(1.0, estimator.estimate(None))

    def test_claimed_size_hardly_changes_the_mean(self):
        estimator = work.WorkEstimator()
        usual = Size(prompt_tokens=800, answer_tokens=100)
        for _ in range(20):
            estimator.estimate(usual)
        estimator.estimate(Size(prompt_tokens=2**62, answer_tokens=2**62))
        self.assertGreater(estimator.estimate(usual), 0.5)

    def test_claimed_size_is_bounded(self):
        estimator = work.WorkEstimator()
        estimator.estimate(Size(prompt_tokens=1, answer_tokens=1))
        huge = Size(prompt_tokens=2**62, answer_tokens=2**62)
        self.assertLessEqual(estimator.estimate(huge), conf.WORK_MAX)
