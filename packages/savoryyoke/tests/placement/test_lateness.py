"""Test the estimate of the time spent on earlier attempts."""

import unittest

from savoryyoke.placement import lateness


class SpentTimeEstimatorTests(unittest.TestCase):
    def setUp(self):
        self.estimator = lateness.SpentTimeEstimator()

    def test_first_request_of_a_route_has_spent_nothing(self):
        self.assertEqual(0, self.estimator.record('r', time_left_s=8.0))

    def test_retrying_caller_has_spent_the_difference(self):
        self.estimator.record('r', time_left_s=8.0)
        self.assertAlmostEqual(
            0.7, self.estimator.record('r', time_left_s=7.3)
        )

    def test_routes_are_independent(self):
        self.estimator.record('r', time_left_s=8.0)
        self.assertEqual(0, self.estimator.record('s', time_left_s=1.5))

    def test_caller_that_states_no_time_has_spent_nothing(self):
        self.assertEqual(0, self.estimator.record('r', time_left_s=None))
