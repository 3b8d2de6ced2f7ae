"""Test which requests a dispatcher places while capacity is scarce."""

import collections
import dataclasses
import random
import unittest

from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import models as placement_models
from savoryyoke.scarcity import models

from tests.placement import fleet_entries

TERMS = models.Terms(priorities=(0, 1, 2), pause_limit_s=0.15)


class ScarceEntry:
    """Run one dispatcher whose engines make passes that are too long.

    Each engine is a group of its own unless ``is_grouped`` is true.
    """

    def __init__(self, *, terms=TERMS, pause_s=0.3, is_grouped=False):
        self._entry = fleet_entries.build_entry(
            target_count=10, slots=5, random_fraction=random.Random(2).random
        )
        self._entry.pool.set_terms(terms)
        self.now_s = 1.0
        self._numbers = iter(range(10_000))
        self._pause_s = pause_s
        self._placements = []
        if is_grouped:
            self._group_targets()

    def _group_targets(self):
        targets = [
            placement_models.Target(
                target_id=str(rank),
                incarnation=1,
                service_name='s',
                host=f'10.0.1.{rank}',
                port=80,
                data_centre='dc-a',
                region='r',
                slots=5,
                is_draining=False,
                is_in_service=True,
                group='g',
                group_epoch=1,
                group_rank=rank,
            )
            for rank in range(10)
        ]
        self._apply(events.TargetsChanged(targets=tuple(targets)))

    def arrive(
        self,
        *,
        priority,
        is_on_time=True,
        team='',
        count=1,
        work=1.0,
        route_priority=None,
    ):
        """Let requests arrive; return the decisions on them, if any."""
        if route_priority is None:
            route_priority = priority
        decided = []
        for _ in range(count):
            decided.extend(
                self._apply(
                    events.RequestArrived(
                        request_id=str(next(self._numbers)),
                        is_on_time=is_on_time,
                        priority=priority,
                        route_priority=route_priority,
                        wait_until_s=self.now_s + 0.25,
                        time_left_s=8.0,
                        team=team,
                        work=work,
                    )
                )
            )
        return decided

    def set_terms(self, terms):
        """Change the terms while requests wait."""
        self._entry.pool.set_terms(terms)

    def report_peer(self, requests_by_target_id):
        """Let a peer report its requests in flight."""
        self._apply(
            events.PeerReported(
                peer_id='peer',
                requests_by_target_id=collections.Counter(
                    requests_by_target_id
                ),
            )
        )

    def move(self):
        """Let a stream ask for a move; return its id and the decisions."""
        request_id = str(next(self._numbers))
        return request_id, self._apply(
            events.MoveRequested(
                request_id=request_id,
                tried_target_ids=frozenset(),
                wait_until_s=self.now_s + 0.25,
                time_left_s=8.0,
            )
        )

    @property
    def running_count(self):
        """Return how many requests run at the engines."""
        return len(self._placements)

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


class GroupTests(unittest.TestCase):
    """Guard against limits of single engines instead of their group."""

    def test_less_urgent_levels_use_less_of_the_limit(self):
        placed = []
        for priority in range(3):
            entry = ScarceEntry(pause_s=0.09, is_grouped=True)
            entry.arrive(priority=0, count=20)
            for _ in range(20):
                entry.advance(0.1)
            placed.append(
                count_placed(entry.arrive(priority=priority, count=30))
            )
        self.assertEqual(30, placed[0])
        self.assertEqual(sorted(placed, reverse=True), placed)
        self.assertEqual(3, len(set(placed)))

    def test_requests_of_peers_count(self):
        """A limit of all entries must not be used by each of them."""
        busy_peer = dict.fromkeys(('3', '4', '5', '6'), 5)
        for peer_requests, expected in (({}, 1), (busy_peer, 0)):
            with self.subTest(peer_requests=peer_requests):
                entry = ScarceEntry(is_grouped=True)
                entry.arrive(priority=0, count=15)
                for _ in range(20):
                    entry.advance(0.1)
                entry.report_peer(peer_requests)
                self.assertEqual(
                    expected, count_placed(entry.arrive(priority=1))
                )

    def test_measured_pauses_of_a_group_limit_all_its_engines(self):
        entry = ScarceEntry(is_grouped=True)
        entry.arrive(priority=0, count=30)
        for _ in range(20):
            entry.advance(0.1)
        self.assertEqual(0, count_placed(entry.arrive(priority=1, count=5)))


class DecisionTests(unittest.TestCase):
    """Guard against requests with two decisions or with none."""

    def test_each_request_has_one_decision(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, generator):
        entry = ScarceEntry(is_grouped=True)
        arrived_count = 0
        decided = []
        for _ in range(150):
            for _ in range(generator.randrange(6)):
                arrived_count += 1
                decided.extend(
                    entry.arrive(
                        priority=generator.randrange(3),
                        is_on_time=generator.random() < 0.8,
                        team=generator.choice('ab'),
                    )
                )
            for _ in range(min(generator.randrange(4), entry.running_count)):
                decided.extend(entry.end_one())
            if generator.random() < 0.05:
                entry.set_terms(generator.choice([TERMS, None]))
            decided.extend(entry.advance(0.05))
        decided.extend(entry.advance(1.0))
        counts = collections.Counter(
            decision.request_id for decision in decided
        )
        self.assertEqual(arrived_count, len(counts))
        self.assertEqual({1}, set(counts.values()))
        self.assertGreater(arrived_count, count_placed(decided))

    def test_moves_are_not_refused_for_urgent_arrivals(self):
        """A stream that has begun must not lose its place in the queue."""
        entry = ScarceEntry()
        entry.arrive(priority=0, count=50)
        entry.end_one()
        entry.arrive(priority=0)
        move_ids = []
        for _ in range(10):
            move_id, decided = entry.move()
            self.assertFalse(decided)
            move_ids.append(move_id)
        refused = entry.arrive(priority=0, count=20)
        refused_ids = {decision.request_id for decision in refused}
        self.assertTrue(refused_ids)
        self.assertFalse(refused_ids.intersection(move_ids))
        placed_ids = [
            decision.request_id
            for decision in entry.end_one()
            if isinstance(decision, decisions.Place)
        ]
        self.assertEqual(move_ids[:1], placed_ids)

    def test_waiting_requests_are_placed_when_the_terms_end(self):
        entry = ScarceEntry(is_grouped=True)
        entry.arrive(priority=0, count=40)
        for _ in range(5):
            entry.advance(0.1)
        self.assertEqual(0, count_placed(entry.arrive(priority=2)))
        entry.set_terms(None)
        self.assertEqual(1, count_placed(entry.advance(0.1)))


class WithoutTermsTests(unittest.TestCase):
    """Guard against changes for services that have no scarcity terms."""

    def play(self, **changes_by_request):
        """Return all decisions of a day in which requests wait."""
        entry = ScarceEntry(terms=None, is_grouped=True)
        generator = random.Random(7)
        decided = []
        for number in range(200):
            entry_changes = {
                name: values[number % len(values)]
                for name, values in changes_by_request.items()
            }
            decided.extend(
                entry.arrive(
                    priority=generator.randrange(3),
                    is_on_time=generator.random() < 0.8,
                    **entry_changes,
                )
            )
            if generator.random() < 0.5 and entry.running_count:
                decided.extend(entry.end_one())
            decided.extend(entry.advance(0.01))
        return [dataclasses.asdict(decision) for decision in decided]

    def test_team_work_and_route_priority_change_nothing(self):
        self.assertEqual(
            self.play(route_priority=[0]),
            self.play(
                team=['a', 'b', ''],
                work=[1.0, 8.0],
                route_priority=[2, 0, 1, 9],
            ),
        )

    def test_refusals_have_no_level(self):
        refusals = [
            decision
            for decision in self.play(route_priority=[0])
            if 'retry_after_s' in decision
        ]
        self.assertTrue(refusals)
        for refusal in refusals:
            self.assertIsNone(refusal['level'])
            self.assertIsNone(refusal['limit_share'])
            self.assertIsNot(
                placement_models.RefusalReason.CAPACITY_RESERVED,
                refusal['reason'],
            )
