"""Test the arithmetic of a group's passes."""

import dataclasses
import unittest

from savoryyoke_emulator import clocks
from savoryyoke_emulator import engines
from savoryyoke_emulator import experiments

from tests import support


class EngineGroupTests(unittest.TestCase):
    def setUp(self):
        self.engines = dataclasses.replace(
            experiments.load(support.QUIET).engines, context_ms=0.0
        )
        self.clock = clocks.VirtualClock()
        self.group = engines.EngineGroup(
            engines=self.engines, clock=self.clock
        )
        self.seen = []
        self.lost = 0

    def add(self, rank, *, prompt_tokens=0, events=2):
        """Add a job; its events are noted with their times."""
        job = engines.Job(
            prompt_tokens=prompt_tokens,
            events=events,
            on_event=lambda number: self.seen.append(
                (rank, number, self.clock.now_s)
            ),
            on_lost=self.count_lost,
        )
        self.assertTrue(self.group.add(rank, job))
        return job

    def count_lost(self):
        """Count a job that is lost."""
        self.lost += 1

    def find_pass_s(self, added_ms, *, peak=1.0):
        """Return the time of a pass, by the formula of the class."""
        share = self.engines.expert_share
        own_ms = (1 - share) * max(added_ms)
        mean_ms = sum(added_ms) / self.engines.ranks
        steps_ms = self.engines.stride * self.engines.step_ms
        return (steps_ms + own_ms + share * mean_ms * peak) / 1000

    def test_writer_gets_an_event_a_pass(self):
        self.add(0)
        self.clock.run_until(1.0)
        writer_ms = self.engines.stride * self.engines.writer_ms
        pass_s = self.find_pass_s([writer_ms])
        (_, first, first_s), (_, second, second_s) = self.seen
        self.assertEqual((1, 2), (first, second))
        self.assertAlmostEqual(pass_s, first_s)
        self.assertAlmostEqual(2 * pass_s, second_s)

    def test_prompt_is_read_before_the_first_event(self):
        self.add(0, prompt_tokens=612, events=1)
        self.clock.run_until(1.0)
        reading_s = self.find_pass_s([612 / self.engines.read_per_ms])
        writer_ms = self.engines.stride * self.engines.writer_ms
        ((_, _, at_s),) = self.seen
        self.assertAlmostEqual(reading_s + self.find_pass_s([writer_ms]), at_s)

    def test_uneven_experts_slow_all_ranks_down(self):
        self.group.peak = 3.0
        for rank in range(self.engines.ranks):
            self.add(rank, events=3)
        self.clock.run_until(1.0)
        writer_ms = self.engines.stride * self.engines.writer_ms
        expected_s = self.find_pass_s(
            [writer_ms] * self.engines.ranks, peak=3.0
        )
        # The first pass began with the first job alone.
        for rank in range(1, self.engines.ranks):
            first_s, second_s, _ = (
                at_s for other, _, at_s in self.seen if other == rank
            )
            self.assertAlmostEqual(expected_s, second_s - first_s)

    def test_slots_bound_what_runs(self):
        for _ in range(self.engines.slots + 1):
            self.add(0, events=1)
        self.clock.run_until(10.0)
        times_s = sorted({at_s for _, _, at_s in self.seen})
        self.assertEqual(2, len(times_s))
        self.assertEqual(self.engines.slots + 1, len(self.seen))

    def test_lost_group_opens_again(self):
        self.add(0)
        self.clock.run_until(0.01)
        self.group.lose(1.0)
        self.assertEqual(1, self.lost)
        self.assertFalse(self.group.is_open)
        self.clock.run_until(1.02 + self.engines.forming_s)
        self.assertTrue(self.group.is_open)
        self.assertEqual([], self.seen)

    def test_job_whose_caller_left_writes_no_more(self):
        job = self.add(0, events=50)
        self.clock.run_until(0.2)
        written = len(self.seen)
        self.group.cancel(0, job)
        self.clock.run_until(1.0)
        self.assertLessEqual(len(self.seen), written + 1)
