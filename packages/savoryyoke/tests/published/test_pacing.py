"""Test how soon published values are read again."""

import random
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

    def test_little_is_put_off_while_a_target_is_out(self):
        for entries in (8, 43, 350):
            pause_s = pacing.find_pause_s(entries=entries, is_settled=False)
            self.assertLessEqual(pause_s, conf.URGENT_PAUSE_MOST_S)

    def test_start_of_a_fleet_makes_few_calls(self):
        """Play 130 changes in five seconds at each of 43 entries."""
        changes_s = [number * 5 / 130 for number in range(130)]
        pause_s = pacing.find_pause_s(entries=43, is_settled=False)
        calls, next_s = 0, 0.0
        for change_s in changes_s:
            if change_s >= next_s:
                calls += 1
                next_s = change_s + pause_s
        self.assertLess(calls, 30)

    def test_pause_is_bounded(self):
        pause_s = pacing.find_pause_s(entries=5000, is_settled=True)
        self.assertEqual(conf.PAUSE_MOST_S, pause_s)


class WaitTests(unittest.TestCase):
    def play(self, entries, *, seconds=60.0):
        """Return when the entries of a quiet fleet renew their readings."""
        source = random.Random(entries)
        renewed_s = []
        for _ in range(entries):
            now_s = 0.0
            while now_s < seconds:
                now_s += pacing.find_wait_s(
                    peers=entries - 1, draw=source.random
                )
                renewed_s.append(now_s)
        return sorted(renewed_s)

    def test_small_fleets_and_lone_entries_find_silence_in_time(self):
        for peers in (0, 1, 7):
            wait_s = pacing.find_wait_s(peers=peers, draw=lambda: 1.0)
            self.assertEqual(conf.WAIT_S, wait_s)

    def test_calls_of_a_quiet_fleet_hardly_grow(self):
        for entries in (16, 44, 99):
            with self.subTest(entries=entries):
                self.assertLess(len(self.play(entries)) / 60.0, 8.0)

    def test_one_of_the_fleet_finds_silence_soon(self):
        for entries in (16, 44, 99, 350):
            with self.subTest(entries=entries):
                renewed_s = self.play(entries)
                gaps_s = [
                    after - before
                    for before, after in zip(
                        renewed_s[:-entries], renewed_s[1:], strict=False
                    )
                    # The fleet spreads out over its first wait.
                    if before > conf.WAIT_MOST_S
                ]
                self.assertLess(max(gaps_s), conf.WAIT_S)

    def test_wait_is_bounded(self):
        wait_s = pacing.find_wait_s(peers=5000, draw=lambda: 0.0)
        self.assertEqual(conf.WAIT_MOST_S, wait_s)
