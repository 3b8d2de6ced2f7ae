"""Test that all entries together keep the retry limit of a service."""

import unittest

from savoryyoke_gateway import retrying

RATIO = 0.2
SLACK = 92.0
WINDOW_S = 10.0


class Fleet:
    """Simulate entries that use their limits without any heartbeats."""

    def __init__(self, *, entries, requests_per_s):
        self.now_s = 0.0
        self.entries = entries
        self._requests_per_s = requests_per_s
        self._allowances = [self._start() for _ in range(entries)]
        self.spent_s = []

    def _start(self):
        allowances = retrying.RetryAllowances(
            ratio=RATIO, slack=SLACK, clock=lambda: self.now_s
        )
        allowances.set_entry_count(self.entries)
        return allowances

    def restart(self, count):
        """Restart ``count`` entries, which lose the count of their tries."""
        for index in range(count):
            self._allowances[index] = self._start()

    def run(self, duration_s):
        """Send requests to all entries in turn; repeat while allowed."""
        requests = int(duration_s * self._requests_per_s)
        for number in range(requests):
            self.now_s += 1 / self._requests_per_s
            allowance = self._allowances[number % self.entries]
            allowance.record_request('s')
            while allowance.withdraw('s'):
                self.spent_s.append(self.now_s)

    def most_in_a_window(self):
        """Return the largest number of repeated tries within any window."""
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

    def test_undivided_slack_would_exceed_the_limit(self):
        fleet = Fleet(entries=8, requests_per_s=30)
        for allowance in fleet._allowances:
            allowance._entry_count = 1
        fleet.run(30)
        self.assertGreater(fleet.most_in_a_window(), self.limit(30))


class SecondTriesTests(unittest.TestCase):
    """Test that second tries leave tokens for retries after failures."""

    def setUp(self):
        self.allowances = retrying.RetryAllowances(
            ratio=RATIO, slack=SLACK, clock=lambda: 0.0
        )

    def test_half_of_the_limit_is_reserved(self):
        hedge_count = 0
        while self.allowances.withdraw_hedge('s', is_lost=True):
            hedge_count += 1
        self.assertGreater(hedge_count, 1)
        self.assertGreaterEqual(self.allowances.filled_share('s'), 0.5)
        retry_count = 0
        while self.allowances.withdraw('s'):
            retry_count += 1
        self.assertGreaterEqual(retry_count, hedge_count)

    def test_second_tries_of_slow_requests_have_their_own_limit(self):
        hedge_count = sum(
            self.allowances.withdraw_hedge('s', is_lost=False)
            for _ in range(9)
        )
        self.assertEqual(1, hedge_count)
