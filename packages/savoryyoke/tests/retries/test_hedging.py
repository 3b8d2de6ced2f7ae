"""Test when a second try starts while the first is still running."""

import unittest

from savoryyoke.retries import conf
from savoryyoke.retries import hedging

KEY = hedging.HedgeKey(service_name='s', route_name='r', size_class=7)
OBJECTIVE_S = 0.4


class TimingCase(unittest.TestCase):
    def setUp(self):
        self.timing = hedging.HedgeTiming()

    def record_answers(
        self, response_time_s, *, key=KEY, target_id='t1', sent_s=0.0, times=1
    ):
        for _ in range(times):
            self.timing.record_answer(
                key, target_id, sent_s=sent_s, response_time_s=response_time_s
            )

    def delay_s(self, key=KEY):
        return self.timing.delay_s(key, objective_s=OBJECTIVE_S)


class DelayTests(TimingCase):
    def test_objective_is_used_with_few_samples(self):
        self.record_answers(0.05, times=conf.HEDGE_MIN_SAMPLES - 1)
        self.assertEqual(OBJECTIVE_S, self.delay_s())

    def test_slow_tenth_of_requests_sets_the_delay(self):
        self.record_answers(0.05, times=90)
        self.record_answers(0.4, times=10)
        self.assertAlmostEqual(0.4, self.delay_s(), delta=0.03)

    def test_rare_slow_answers_do_not_raise_the_delay(self):
        self.record_answers(0.05, times=98)
        self.record_answers(3.0, times=2)
        self.assertAlmostEqual(0.05, self.delay_s(), delta=0.005)

    def test_body_sizes_have_separate_delays(self):
        large_body_key = hedging.HedgeKey(
            service_name='s', route_name='r', size_class=12
        )
        self.record_answers(0.05, times=50)
        self.record_answers(0.8, key=large_body_key, times=50)
        self.assertAlmostEqual(0.05, self.delay_s(), delta=0.005)
        self.assertAlmostEqual(0.8, self.delay_s(large_body_key), delta=0.05)

    def test_new_route_uses_the_times_of_its_service(self):
        new_route_key = hedging.HedgeKey(
            service_name='s', route_name='new', size_class=7
        )
        self.record_answers(0.05, times=50)
        self.assertAlmostEqual(0.05, self.delay_s(new_route_key), delta=0.005)

    def test_delay_follows_a_change_within_two_windows(self):
        self.record_answers(0.05, times=conf.HEDGE_WINDOW_SAMPLES)
        self.record_answers(0.5, times=conf.HEDGE_WINDOW_SAMPLES)
        self.assertAlmostEqual(0.5, self.delay_s(), delta=0.03)


class LostTests(TimingCase):
    def seems_lost(self, *, now_s):
        return self.timing.seems_lost(
            KEY, 't1', sent_s=0.0, delay_s=0.1, now_s=now_s
        )

    def test_lost_if_another_target_answers_a_later_request(self):
        self.timing.record_sent(KEY, 't2', sent_s=0.0)
        self.assertFalse(self.seems_lost(now_s=0.3))
        self.record_answers(0.05, target_id='t2', sent_s=0.2)
        self.assertTrue(self.seems_lost(now_s=0.3))

    def test_answers_of_the_same_target_do_not_count(self):
        self.timing.record_sent(KEY, 't2', sent_s=0.0)
        self.record_answers(0.05, target_id='t1', sent_s=0.2)
        self.assertFalse(self.seems_lost(now_s=0.3))

    def test_not_lost_if_all_targets_are_slow(self):
        for number in range(4):
            self.timing.record_sent(KEY, f't{number}', sent_s=0.0)
        self.assertFalse(self.seems_lost(now_s=9.0))

    def test_lost_if_no_other_request_is_running(self):
        number = self.timing.record_sent(KEY, 't2', sent_s=0.0)
        self.timing.record_end(KEY, number)
        self.assertTrue(self.seems_lost(now_s=0.3))


class AllowanceTests(unittest.TestCase):
    def test_second_tries_are_a_share_of_all_requests(self):
        allowance = hedging.HedgeAllowance()
        second_tries = 0
        for _ in range(1000):
            allowance.deposit()
            second_tries += allowance.withdraw()
        self.assertLessEqual(second_tries, 1000 * conf.HEDGE_SHARE + 1)
        self.assertGreater(second_tries, 1000 * conf.HEDGE_SHARE - 2)
