"""Test the limits that follow from memory and descriptors."""

import unittest

from savoryyoke.intake import conf
from savoryyoke.intake import limits


class DeriveLimitsTests(unittest.TestCase):
    def test_small_entry(self):
        derived = limits.derive_limits(memory_mb=152.0, max_fds=1535)
        self.assertEqual(44_000_000, derived.budget_bytes)
        self.assertEqual(22_000_000, derived.answers_bytes)
        self.assertEqual(635, derived.connections)

    def test_budget_with_its_copies_fits_into_the_memory(self):
        for memory_mb in (100, 152, 200, 300, 552):
            derived = limits.derive_limits(memory_mb=memory_mb, max_fds=4100)
            self.assertLessEqual(
                conf.BASE_BYTES + conf.COPIES * derived.budget_bytes,
                memory_mb * 1_000_000,
            )

    def test_too_small_processes_serve_something(self):
        derived = limits.derive_limits(memory_mb=1, max_fds=1)
        self.assertEqual(conf.MIN_BUDGET_BYTES, derived.budget_bytes)
        self.assertEqual(conf.MIN_CONNECTIONS, derived.connections)
