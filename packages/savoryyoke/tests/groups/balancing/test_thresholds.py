"""Test how much a new map has to gain."""

import unittest

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import thresholds

POLICY = conf.BalancePolicy()


class MinGainTests(unittest.TestCase):
    def choose(self, pass_s, *, pause_objective_s=0.12):
        return thresholds.choose_min_gain(
            POLICY, pass_s=pass_s, pause_objective_s=pause_objective_s
        )

    def test_short_passes_need_a_large_gain(self):
        self.assertEqual(POLICY.min_gain, self.choose(0.04))

    def test_passes_at_the_accepted_pause_need_a_small_gain(self):
        for pass_s in (0.12, 0.5):
            self.assertAlmostEqual(
                POLICY.min_gain_at_limit, self.choose(pass_s)
            )

    def test_required_gain_falls_with_the_pass(self):
        gains = [self.choose(pass_ms / 1000) for pass_ms in range(40, 130, 5)]
        self.assertEqual(sorted(gains, reverse=True), gains)

    def test_unknown_pause_needs_a_large_gain(self):
        self.assertEqual(
            POLICY.min_gain, self.choose(0.5, pause_objective_s=None)
        )
