"""Test how soon published values are read again."""

import unittest

from savoryyoke.published import conf
from savoryyoke.published import pacing

CHANGES_PER_S = 3.0


def count_calls(entries):
    """Return the calls that a fleet makes in a second of steady changes."""
    pause_s = pacing.find_pause_s(entries=entries, is_settled=True)
    return entries / (pause_s + 1 / CHANGES_PER_S)


class PauseTests(unittest.TestCase):
    def test_small_fleets_read_each_change(self):
        for entries in (1, 8, conf.SMALL_FLEET_ENTRIES):
            pause_s = pacing.find_pause_s(entries=entries, is_settled=True)
            self.assertEqual(0.0, pause_s)

    def test_calls_hardly_grow_with_the_fleet(self):
        self.assertLess(count_calls(43), 43 * CHANGES_PER_S / 2)
        self.assertLess(count_calls(80), 1.5 * count_calls(43))

    def test_nothing_is_put_off_while_a_target_is_out(self):
        self.assertEqual(
            0.0, pacing.find_pause_s(entries=350, is_settled=False)
        )

    def test_pause_is_bounded(self):
        pause_s = pacing.find_pause_s(entries=5000, is_settled=True)
        self.assertEqual(conf.PAUSE_MOST_S, pause_s)
