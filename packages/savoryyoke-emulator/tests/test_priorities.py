"""Play streams of different priorities against the scarcity account."""

import pathlib
import unittest
from unittest import mock

from savoryyoke_emulator import emulation
from savoryyoke_emulator import entries
from savoryyoke_emulator import experiments
from savoryyoke_emulator import tables

BURST = (
    pathlib.Path(__file__).parent.parent / 'experiments/priorities-burst.toml'
)
# Maps so uneven that the group can't run all streams without long pauses.
SCARCE = 'maps.even=1.9+maps.uneven=3.2'
SEED = 1


class PrioritiesTests(unittest.TestCase):
    """Guard against an overload that makes all streams late alike."""

    @classmethod
    def setUpClass(cls):
        experiment = experiments.change(experiments.load(BURST), SCARCE)
        cls.results = [emulation.play(experiment, seed=SEED)]
        with mock.patch.object(entries, 'build_terms', return_value=None):
            cls.results.append(emulation.play(experiment, seed=SEED))

    def test_callers_gain_by_their_worth(self):
        with_account, without = map(tables.summarize, self.results)
        self.assertGreater(with_account.credit, without.credit)

    def test_most_urgent_streams_gain_most(self):
        with_account, without = map(tables.summarize_kinds, self.results)
        gains = {
            name: with_account[name].on_time - without[name].on_time
            for name in with_account
        }
        self.assertEqual('confirmations', max(gains, key=gains.get))
        self.assertGreater(with_account['confirmations'].on_time, 0.6)

    def test_least_urgent_streams_are_not_starved(self):
        kinds = tables.summarize_kinds(self.results[0])
        served = {
            name: kinds[name].on_time + kinds[name].late for name in kinds
        }
        usual = 1.0 - tables.summarize(self.results[0]).refused
        self.assertGreater(served['digests'], usual / 2)

    def test_most_urgent_streams_are_not_refused(self):
        kinds = tables.summarize_kinds(self.results[0])
        self.assertLess(kinds['confirmations'].refused, 0.01)
