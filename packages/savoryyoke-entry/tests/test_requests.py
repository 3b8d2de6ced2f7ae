"""Test how the cost of a caller's request is estimated."""

import unittest

from savoryyoke_entry import conf
from savoryyoke_entry import requests


class CostTests(unittest.TestCase):
    def test_number_of_tokens(self):
        self.assertEqual(8.0, requests._estimate_cost({'max_tokens': 8}))

    def test_number_beyond_the_range_of_floats_is_limited(self):
        self.assertEqual(
            conf.COST_LIMIT_TOKENS,
            requests._estimate_cost({'max_tokens': 10**400}),
        )
