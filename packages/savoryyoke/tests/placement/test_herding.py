"""Play the load of a fleet whose entries know of each other with a delay."""

import dataclasses
import heapq
import itertools
import random
import unittest

from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import models

from tests.placement import fleet_entries

ENTRIES = 44
TARGETS = 63
SLOTS = 5
SERVICE_S = 2.0
REPORT_INTERVAL_S = 0.27
WAIT_S = 0.25
SEED = 7


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Hold what callers and targets saw.

    ``served_share`` is the share of requests that were served.
    ``delayed_share`` is the share of these that queued at their target.
    ``max_in_flight`` is the largest number at one target.
    """

    served_share: float
    delayed_share: float
    max_in_flight: int


class Fleet:
    """Place requests of a constant rate by entries that report in turn."""

    def __init__(self, *, requests_per_s, seconds=12.0):
        self._random = random.Random(SEED)
        self._requests_per_s = requests_per_s
        self._seconds = seconds
        self._numbers = itertools.count()
        self._agenda = []
        self._in_flight = dict.fromkeys(range(TARGETS), 0)
        self._ends_s_by_target = {number: [] for number in range(TARGETS)}
        self._entries = [self._build_entry() for _ in range(ENTRIES)]
        self._arrived = self._served = self._delayed = self._highest = 0

    def _build_entry(self):
        return fleet_entries.build_entry(
            target_count=TARGETS,
            slots=SLOTS,
            random_fraction=self._random.random,
        )

    def play(self):
        """Return the ``Load`` of all requests after a first second."""
        for number in range(ENTRIES):
            self._schedule(
                REPORT_INTERVAL_S * self._random.random(),
                self._report,
                number,
            )
        self._schedule(0.0, self._arrive)
        while self._agenda:
            now_s, _, action, arguments = heapq.heappop(self._agenda)
            if now_s > self._seconds:
                break
            action(now_s, *arguments)
        return Load(
            served_share=self._served / self._arrived,
            delayed_share=self._delayed / self._served,
            max_in_flight=self._highest,
        )

    def _schedule(self, at_s, action, *arguments):
        heapq.heappush(
            self._agenda, (at_s, next(self._numbers), action, arguments)
        )

    def _report(self, now_s, number):
        own = self._entries[number].pool.own_in_flight()
        for other_number, entry in enumerate(self._entries):
            if other_number != number:
                self._apply(
                    now_s,
                    other_number,
                    events.PeerReported(
                        peer_id=str(number), requests_by_target_id=own
                    ),
                )
        self._schedule(now_s + REPORT_INTERVAL_S, self._report, number)

    def _arrive(self, now_s):
        self._arrived += 1
        number = self._random.randrange(ENTRIES)
        self._apply(
            now_s,
            number,
            events.RequestArrived(
                request_id=str(next(self._numbers)),
                is_on_time=True,
                priority=1,
                wait_until_s=now_s + WAIT_S,
                time_left_s=8.0,
            ),
        )
        self._schedule(
            now_s + self._random.expovariate(self._requests_per_s),
            self._arrive,
        )

    def _apply(self, now_s, number, event):
        for decision in self._entries[number].apply(event, now_s=now_s):
            if isinstance(decision, decisions.Place):
                self._run(now_s, number, decision)

    def _run(self, now_s, number, decision):
        """Run a request once a slot of its target is free."""
        target_number = int(decision.target.target_id)
        self._in_flight[target_number] += 1
        self._highest = max(self._highest, self._in_flight[target_number])
        ends_s = self._ends_s_by_target[target_number]
        start_s = now_s
        if len(ends_s) >= SLOTS:
            start_s = max(now_s, heapq.heappop(ends_s))
        end_s = start_s + SERVICE_S * self._random.uniform(0.5, 1.5)
        heapq.heappush(ends_s, end_s)
        self._served += 1
        self._delayed += start_s > now_s
        self._schedule(end_s, self._end, number, decision)

    def _end(self, now_s, number, decision):
        self._in_flight[int(decision.target.target_id)] -= 1
        self._apply(
            now_s,
            number,
            events.TryEnded(
                target_id=decision.target.target_id,
                incarnation=decision.target.incarnation,
                result=models.TryResult.ANSWERED,
                latency_s=0.2,
                service_time_s=SERVICE_S,
            ),
        )


class HerdingTests(unittest.TestCase):
    """Check that entries don't all choose the same least loaded engines."""

    CAPACITY_PER_S = TARGETS * SLOTS / SERVICE_S

    def play(self, load_share):
        requests_per_s = load_share * self.CAPACITY_PER_S
        return Fleet(requests_per_s=requests_per_s).play()

    def test_half_load_seldom_queues_at_a_target(self):
        load = self.play(0.5)
        self.assertEqual(1.0, load.served_share)
        self.assertLess(load.delayed_share, 0.02)

    def test_three_quarters_of_the_load_are_served(self):
        load = self.play(0.75)
        self.assertGreater(load.served_share, 0.99)
        self.assertLess(load.delayed_share, 0.15)
        self.assertLessEqual(load.max_in_flight, 2 * SLOTS)

    def test_nine_tenths_of_the_load_are_served(self):
        load = self.play(0.9)
        self.assertGreater(load.served_share, 0.99)
        self.assertLessEqual(load.max_in_flight, 3 * SLOTS)

    def test_overload_does_not_queue_at_the_targets(self):
        load = self.play(1.5)
        self.assertGreater(load.served_share, 0.9 / 1.5)
        self.assertLessEqual(load.max_in_flight, 3 * SLOTS)
