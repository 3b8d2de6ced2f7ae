"""Test that all entries together keep the retry limit of a service."""

import unittest

from savoryyoke_gateway import retrying

RATIO = 0.2
SLACK = 92.0
WINDOW_S = 10.0


class Fleet:
    """Let entries spend all they have, without hearing each other."""

    def __init__(self, *, entries, requests_per_s):
        self.now_s = 0.0
        self.entries = entries
        self._requests_per_s = requests_per_s
        self._allowances = [self._start() for _ in range(entries)]
        self.spent_s = []

    def _start(self):
        started = retrying.RetryAllowances(
            ratio=RATIO, slack=SLACK, clock=lambda: self.now_s
        )
        started.set_entries(self.entries)
        return started

    def restart(self, count):
        """Replace processes, which forget what they have spent."""
        for place in range(count):
            self._allowances[place] = self._start()

    def run(self, duration_s):
        """Serve requests in turn and repeat as often as is allowed."""
        requests = int(duration_s * self._requests_per_s)
        for number in range(requests):
            self.now_s += 1 / self._requests_per_s
            allowance = self._allowances[number % self.entries]
            allowance.note_request('s')
            while allowance.take('s'):
                self.spent_s.append(self.now_s)

    def most_in_a_window(self):
        """Return the most repeated tries in any window."""
        counts = (
            sum(start <= x < start + WINDOW_S for x in self.spent_s)
            for start in self.spent_s
        )
        return max(counts, default=0)


class RetryAllowancesTests(unittest.TestCase):
    def limit(self, requests_per_s):
        return RATIO * requests_per_s * WINDOW_S + SLACK

    def test_fleets_of_many_sizes_keep_the_limit(self):
        for entries in (1, 3, 8, 43, 120):
            with self.subTest(entries=entries):
                fleet = Fleet(entries=entries, requests_per_s=30)
                fleet.run(30)
                self.assertLessEqual(fleet.most_in_a_window(), self.limit(30))

    def test_quiet_service_keeps_the_limit(self):
        fleet = Fleet(entries=8, requests_per_s=2)
        fleet.run(30)
        self.assertLessEqual(fleet.most_in_a_window(), self.limit(2))

    def test_restart_of_half_of_the_entries_keeps_the_limit(self):
        fleet = Fleet(entries=8, requests_per_s=30)
        fleet.run(5)
        fleet.restart(4)
        fleet.run(20)
        self.assertLessEqual(fleet.most_in_a_window(), self.limit(30))

    def test_undivided_slack_would_break_it(self):
        fleet = Fleet(entries=8, requests_per_s=30)
        for allowance in fleet._allowances:
            allowance._entries = 1
        fleet.run(30)
        self.assertGreater(fleet.most_in_a_window(), self.limit(30))


class SecondTriesTests(unittest.TestCase):
    """Test that second tries leave room for repeats after failures."""

    def setUp(self):
        self.allowances = retrying.RetryAllowances(
            ratio=RATIO, slack=SLACK, clock=lambda: 0.0
        )

    def test_half_of_the_limit_is_kept(self):
        taken = 0
        while self.allowances.take_hedge('s', is_lost=True):
            taken += 1
        self.assertGreater(taken, 1)
        self.assertGreaterEqual(self.allowances.level('s'), 0.5)
        repeated = 0
        while self.allowances.take('s'):
            repeated += 1
        self.assertGreaterEqual(repeated, taken)

    def test_slow_requests_have_a_share_of_their_own(self):
        taken = sum(
            self.allowances.take_hedge('s', is_lost=False) for _ in range(9)
        )
        self.assertEqual(1, taken)
