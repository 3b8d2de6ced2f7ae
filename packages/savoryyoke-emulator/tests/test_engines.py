"""Test the timing of a group's passes."""

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
        self.recorded_events = []
        self.lost_jobs = 0

    def add(self, rank, *, prompt_tokens=0, events=2):
        """Add a job whose events are recorded with their times."""
        job = engines.Job(
            prompt_tokens=prompt_tokens,
            events=events,
            on_event=lambda number: self.recorded_events.append(
                (rank, number, self.clock.now_s)
            ),
            on_lost=self.count_lost_job,
        )
        self.assertTrue(self.group.add(rank, job))
        return job

    def count_lost_job(self):
        """Count a lost job."""
        self.lost_jobs += 1

    def calculate_pass_s(self, added_ms, *, peak=1.0):
        """Return the expected time of a pass in seconds."""
        share = self.engines.expert_share
        other_ms = (1 - share) * max(added_ms)
        mean_ms = sum(added_ms) / self.engines.ranks
        base_ms = self.engines.stride * self.engines.step_ms
        return (base_ms + other_ms + share * mean_ms * peak) / 1000

    def test_stream_gets_one_event_per_pass(self):
        self.add(0)
        self.clock.run_until(1.0)
        writer_ms = self.engines.stride * self.engines.writer_ms
        pass_s = self.calculate_pass_s([writer_ms])
        (_, first_number, first_s), (_, second_number, second_s) = (
            self.recorded_events
        )
        self.assertEqual((1, 2), (first_number, second_number))
        self.assertAlmostEqual(pass_s, first_s)
        self.assertAlmostEqual(2 * pass_s, second_s)

    def test_prompt_is_read_before_the_first_event(self):
        self.add(0, prompt_tokens=612, events=1)
        self.clock.run_until(1.0)
        reading_s = self.calculate_pass_s([612 / self.engines.read_per_ms])
        writer_ms = self.engines.stride * self.engines.writer_ms
        ((_, _, at_s),) = self.recorded_events
        self.assertAlmostEqual(
            reading_s + self.calculate_pass_s([writer_ms]), at_s
        )

    def test_uneven_expert_load_slows_all_ranks(self):
        self.group.peak = 3.0
        for rank in range(self.engines.ranks):
            self.add(rank, events=3)
        self.clock.run_until(1.0)
        writer_ms = self.engines.stride * self.engines.writer_ms
        expected_s = self.calculate_pass_s(
            [writer_ms] * self.engines.ranks, peak=3.0
        )
        # The first pass started with only the first job.
        for rank in range(1, self.engines.ranks):
            first_s, second_s, _ = (
                at_s
                for event_rank, _, at_s in self.recorded_events
                if event_rank == rank
            )
            self.assertAlmostEqual(expected_s, second_s - first_s)

    def test_slots_limit_the_running_jobs(self):
        for _ in range(self.engines.slots + 1):
            self.add(0, events=1)
        self.clock.run_until(10.0)
        times_s = sorted({at_s for _, _, at_s in self.recorded_events})
        self.assertEqual(2, len(times_s))
        self.assertEqual(self.engines.slots + 1, len(self.recorded_events))

    def test_lost_group_reopens(self):
        self.add(0)
        self.clock.run_until(0.01)
        self.group.lose(1.0)
        self.assertEqual(1, self.lost_jobs)
        self.assertFalse(self.group.is_open)
        self.clock.run_until(1.02 + self.engines.forming_s)
        self.assertTrue(self.group.is_open)
        self.assertEqual([], self.recorded_events)

    def test_cancelled_job_generates_no_more_events(self):
        job = self.add(0, events=50)
        self.clock.run_until(0.2)
        events_before_cancel = len(self.recorded_events)
        self.group.cancel(0, job)
        self.clock.run_until(1.0)
        self.assertLessEqual(
            len(self.recorded_events), events_before_cancel + 1
        )
