"""Test which connections are closed when memory is short."""

import unittest

from savoryyoke.intake import budget
from savoryyoke.intake import conf

LIMIT_BYTES = 1024 * 1024
# Large requests leave the reserve free.
LARGE_LIMIT_BYTES = LIMIT_BYTES - int(LIMIT_BYTES * conf.RESERVE_SHARE)
LARGE_BYTES = LARGE_LIMIT_BYTES // 4


class ByteBudgetTests(unittest.TestCase):
    def setUp(self):
        self.answer_bytes = 0
        self.budget = budget.ByteBudget(
            limit_bytes=LIMIT_BYTES,
            get_answer_bytes=lambda: self.answer_bytes,
        )

    def open(self, name, size_bytes=0):
        """Return a new account after it has grown to a size."""
        account = budget.Account(owner=name)
        self.resize(account, size_bytes)
        return account

    def resize(self, account, size_bytes):
        """Resize an account and return the owners of those to close."""
        victims = self.budget.resize(account, size_bytes)
        return [victim.owner for victim in victims]

    def open_large(self, count=4):
        """Return accounts that fill the budget of large requests."""
        return [self.open(str(n), LARGE_BYTES) for n in range(count)]

    def test_budget_can_be_filled(self):
        self.open_large()
        self.assertEqual(4 * LARGE_BYTES, self.budget.total_bytes)

    def test_account_without_progress_is_closed_first(self):
        first, *_ = self.open_large()
        self.resize(first, LARGE_BYTES - conf.PROGRESS_BYTES)
        self.resize(first, LARGE_BYTES)
        fifth = budget.Account(owner='fifth')
        self.assertEqual(['1'], self.resize(fifth, LARGE_BYTES))
        self.assertEqual(4 * LARGE_BYTES, self.budget.total_bytes)

    def test_few_bytes_are_no_progress(self):
        first, *_ = self.open_large()
        self.resize(first, LARGE_BYTES - 1)
        self.resize(first, LARGE_BYTES)
        fifth = budget.Account(owner='fifth')
        self.assertEqual(['0'], self.resize(fifth, LARGE_BYTES))

    def test_small_request_has_room_beside_large_ones(self):
        accounts = self.open_large()
        for account in accounts:
            self.budget.protect(account)
        small = budget.Account(owner='small')
        self.assertEqual([], self.resize(small, conf.SMALL_BYTES))

    def test_small_requests_are_closed_last(self):
        self.open('small', conf.SMALL_BYTES)
        self.open_large(3)
        large = budget.Account(owner='large')
        self.assertEqual(['0'], self.resize(large, LARGE_BYTES))

    def test_complete_requests_are_not_closed(self):
        for account in self.open_large():
            self.budget.protect(account)
        fifth = budget.Account(owner='fifth')
        self.assertEqual(['fifth'], self.resize(fifth, LARGE_BYTES))

    def test_total_stays_within_the_limit(self):
        # Many bodies that grow in turn, as a crowd of callers sends them.
        accounts = {budget.Account(owner=n) for n in range(50)}
        for size_bytes in range(0, LARGE_BYTES, conf.PROGRESS_BYTES):
            for account in list(accounts):
                if account not in accounts:
                    continue
                for victim in self.budget.resize(account, size_bytes):
                    accounts.discard(victim)
                self.assertLessEqual(self.budget.total_bytes, LIMIT_BYTES)
        self.assertLess(len(accounts), 8)
        self.assertGreaterEqual(len(accounts), 3)

    def test_answers_take_room(self):
        self.open_large(2)
        self.answer_bytes = 2 * LARGE_BYTES
        third = budget.Account(owner='third')
        self.assertEqual(['0'], self.resize(third, LARGE_BYTES))

    def test_released_accounts_make_room(self):
        for account in self.open_large():
            self.budget.protect(account)
            self.budget.release(account)
            self.budget.release(account)
        self.assertEqual(0, self.budget.total_bytes)
        self.assertIsNone(self.budget.find_oldest())

    def test_large_accounts_are_the_oldest(self):
        self.open('small', 1)
        self.open('large', LARGE_BYTES)
        self.assertEqual('large', self.budget.find_oldest().owner)
