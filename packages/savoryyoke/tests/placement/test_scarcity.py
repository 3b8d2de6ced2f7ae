"""Test which requests a dispatcher places while capacity is scarce."""

import random
import unittest

from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import models as placement_models
from savoryyoke.scarcity import models

from tests.placement import fleet_entries

TERMS = models.Terms(priorities=(0, 1, 2), pause_limit_s=0.15)


class ScarceEntry:
    """Run one dispatcher whose engines make passes that are too long."""

    def __init__(self, *, terms=TERMS, pause_s=0.3):
        self._entry = fleet_entries.build_entry(
            target_count=10, slots=5, random_fraction=random.Random(2).random
        )
        self._entry.pool.set_terms(terms)
        self.now_s = 1.0
        self._numbers = iter(range(10_000))
        self._pause_s = pause_s
        self._placements = []

    def arrive(self, *, priority, is_on_time=True, team='', count=1):
        """Let requests arrive; return the decisions on them, if any."""
        decided = []
        for _ in range(count):
            decided.extend(
                self._apply(
                    events.RequestArrived(
                        request_id=str(next(self._numbers)),
                        is_on_time=is_on_time,
                        priority=priority,
                        route_priority=priority,
                        wait_until_s=self.now_s + 0.25,
                        time_left_s=8.0,
                        team=team,
                    )
                )
            )
        return decided

    def measure_pauses(self):
        """Let each running stream have two events."""
        for placement in self._placements:
            self._apply(
                events.PauseMeasured(
                    target=placement.target, pause_s=self._pause_s
                )
            )

    def advance(self, seconds):
        """Let time pass; return the decisions that are made then."""
        self.now_s += seconds
        self.measure_pauses()
        return self._apply(events.Ticked())

    def end_one(self):
        """End the oldest running request; return further decisions."""
        placement = self._placements.pop(0)
        return self._apply(
            events.TryEnded(
                target_id=placement.target.target_id,
                incarnation=placement.target.incarnation,
                result=placement_models.TryResult.ANSWERED,
                service_time_s=2.0,
            )
        )

    def _apply(self, event):
        decided = self._entry.apply(event, now_s=self.now_s)
        self._placements.extend(
            decision
            for decision in decided
            if isinstance(decision, decisions.Place)
        )
        return decided


def count_placed(decided):
    """Return the number of placements among decisions."""
    return sum(isinstance(decision, decisions.Place) for decision in decided)


class ScarceCapacityTests(unittest.TestCase):
    """Guard against urgent requests that pay for less urgent ones."""

    def fill(self, entry):
        """Fill most slots, so that the pauses limit what else may run."""
        self.assertEqual(40, count_placed(entry.arrive(priority=0, count=40)))
        for _ in range(5):
            entry.advance(0.1)

    def test_less_urgent_requests_are_refused_while_passes_are_long(self):
        entry = ScarceEntry()
        self.fill(entry)
        self.assertEqual(0, count_placed(entry.arrive(priority=2)))
        self.assertEqual(1, count_placed(entry.arrive(priority=0)))
        (refusal,) = entry.advance(0.3)
        self.assertIs(
            placement_models.RefusalReason.CAPACITY_RESERVED, refusal.reason
        )
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertLessEqual(refusal.retry_after_s, 8.0 / 3)

    def test_without_terms_the_slots_alone_limit(self):
        entry = ScarceEntry(terms=None)
        self.fill(entry)
        self.assertEqual(1, count_placed(entry.arrive(priority=2)))

    def test_without_measured_pauses_the_slots_alone_limit(self):
        entry = ScarceEntry()
        self.assertEqual(50, count_placed(entry.arrive(priority=2, count=50)))

    def test_short_passes_limit_nothing(self):
        entry = ScarceEntry(pause_s=0.06)
        self.fill(entry)
        self.assertEqual(10, count_placed(entry.arrive(priority=2, count=10)))

    def test_more_urgent_request_takes_the_next_free_slot(self):
        entry = ScarceEntry(pause_s=0.06)
        entry.arrive(priority=1, count=50)
        self.assertEqual(0, count_placed(entry.arrive(priority=2)))
        self.assertEqual(0, count_placed(entry.arrive(priority=0)))
        placed_ids = [
            decision.request_id
            for decision in entry.end_one()
            if isinstance(decision, decisions.Place)
        ]
        self.assertEqual(['51'], placed_ids)

    def test_least_urgent_requests_are_not_starved(self):
        """While more urgent requests are served, some others are too."""
        entry = ScarceEntry()
        self.fill(entry)
        placed = 0
        for _ in range(20):
            placed += count_placed(entry.arrive(priority=2, team='small'))
            entry.advance(0.3)
            entry.end_one()
            entry.arrive(priority=0, team='large')
        self.assertGreaterEqual(placed, 4)


class TeamTests(unittest.TestCase):
    def test_team_with_little_recent_work_goes_first(self):
        """Guard against a large team that keeps small ones waiting."""
        entry = ScarceEntry(pause_s=0.06)
        entry.arrive(priority=1, team='large', count=50)
        entry.arrive(priority=1, team='large')
        entry.arrive(priority=1, team='small')
        placed_ids = [
            decision.request_id
            for decision in entry.end_one()
            if isinstance(decision, decisions.Place)
        ]
        self.assertEqual(['51'], placed_ids)
