"""Test complete runs of the emulator."""

import unittest

from savoryyoke_emulator import emulation
from savoryyoke_emulator import experiments
from savoryyoke_emulator import tables

from tests import support


def run(*troubles, seed=1, **changes):
    """Return the summary of a short run."""
    experiment = support.build_experiment(*troubles, **changes)
    return tables.summarize(emulation.play(experiment, seed=seed))


class EmulationTests(unittest.TestCase):
    def test_run_is_determined_by_its_seed(self):
        experiment = support.build_experiment()
        first_result = emulation.play(experiment, seed=3)
        self.assertEqual(first_result, emulation.play(experiment, seed=3))
        self.assertNotEqual(first_result, emulation.play(experiment, seed=4))

    def test_each_request_ends_once(self):
        experiment = experiments.load(support.HEAVY)
        result = emulation.play(experiment, seed=1)
        arrivals_s = sorted(outcome.arrived_s for outcome in result.outcomes)
        self.assertEqual(len(arrivals_s), len(set(arrivals_s)))
        expected = experiment.traffic.per_s * experiment.seconds
        self.assertGreater(len(arrivals_s), 0.9 * expected)

    def test_quiet_load_is_on_time(self):
        self.assertGreater(run().on_time, 0.95)

    def test_uneven_map_makes_streams_late(self):
        experiment = support.build_experiment(
            support.build_trouble('shift', at_s=1.0), per_s=34.0
        )
        quick, slow = (
            tables.summarize(
                emulation.play(experiments.change(experiment, text), seed=1)
            )
            for text in ('maps.reaction_s=0.0', 'maps.reaction_s=60.0')
        )
        self.assertGreater(slow.pass_s, 1.2 * quick.pass_s)
        self.assertLess(slow.on_time, quick.on_time)

    def test_overload_is_refused_in_part(self):
        summary = run(per_s=90.0)
        self.assertGreater(summary.refused, 0.1)
        self.assertGreater(summary.on_time + summary.late, 0.2)

    def test_outage_of_the_group_costs_credit(self):
        outage = support.build_trouble('outage', at_s=3.0, for_s=3.0)
        summary = run(outage)
        self.assertLess(summary.credit, run().credit - 0.2)
        self.assertGreater(summary.refused, 0.1)

    def test_killed_entries_are_restarted(self):
        kill = support.build_trouble('kill', at_s=3.0, for_s=0.5)
        summary = run(kill)
        self.assertGreater(summary.credit, 0.6)
        self.assertLess(summary.credit, run().credit)


class TableTests(unittest.TestCase):
    def test_fractions_add_up_to_one(self):
        outage = support.build_trouble('outage', at_s=3.0, for_s=3.0)
        summary = run(outage)
        fractions = (
            summary.on_time,
            summary.late,
            summary.refused,
            summary.lost,
        )
        self.assertAlmostEqual(1.0, sum(fractions))

    def test_credit_line_has_one_character_per_second(self):
        experiment = support.build_experiment()
        result = emulation.play(experiment, seed=1)
        line = tables.format_credit_line(result.outcomes, seconds=8.0)
        self.assertEqual('@' * 8, line)
        self.assertEqual(' ' * 3, tables.format_credit_line((), seconds=3.0))

    def test_row_is_as_wide_as_the_column_heads(self):
        row = tables.format_row('as it is', run(seconds=2.0))
        self.assertEqual(len(tables.format_head()), len(row))
