"""Test when a second try begins beside a slow one."""

import unittest

from savoryyoke.retries import conf
from savoryyoke.retries import hedging

KEY = hedging.HedgeKey(service_name='s', route_name='r', size_class=7)
OBJECTIVE_S = 0.4


class TimingCase(unittest.TestCase):
    def setUp(self):
        self.timing = hedging.HedgeTiming()

    def note(self, took_s, *, key=KEY, target_id='t1', sent_s=0.0, times=1):
        for _ in range(times):
            self.timing.note(key, target_id, sent_s=sent_s, took_s=took_s)

    def delay_s(self, key=KEY):
        return self.timing.delay_s(key, objective_s=OBJECTIVE_S)


class DelayTests(TimingCase):
    def test_objective_stands_in_while_few_answers_are_known(self):
        self.note(0.05, times=conf.HEDGE_LEAST_TIMES - 1)
        self.assertEqual(OBJECTIVE_S, self.delay_s())

    def test_two_speeds_on_one_route(self):
        self.note(0.05, times=90)
        self.note(0.4, times=10)
        self.assertAlmostEqual(0.4, self.delay_s(), delta=0.03)

    def test_rare_slow_answers_do_not_count(self):
        self.note(0.05, times=98)
        self.note(3.0, times=2)
        self.assertAlmostEqual(0.05, self.delay_s(), delta=0.005)

    def test_sizes_and_routes_differ(self):
        large = hedging.HedgeKey(
            service_name='s', route_name='r', size_class=12
        )
        self.note(0.05, times=50)
        self.note(0.8, key=large, times=50)
        self.assertAlmostEqual(0.05, self.delay_s(), delta=0.005)
        self.assertAlmostEqual(0.8, self.delay_s(large), delta=0.05)

    def test_new_route_goes_by_its_service(self):
        other = hedging.HedgeKey(
            service_name='s', route_name='new', size_class=7
        )
        self.note(0.05, times=50)
        self.assertAlmostEqual(0.05, self.delay_s(other), delta=0.005)

    def test_follows_a_change_within_two_windows(self):
        self.note(0.05, times=conf.HEDGE_WINDOW)
        self.note(0.5, times=conf.HEDGE_WINDOW)
        self.assertAlmostEqual(0.5, self.delay_s(), delta=0.03)


class LostTests(TimingCase):
    def seems_lost(self, *, now_s):
        return self.timing.seems_lost(
            KEY, 't1', sent_s=0.0, delay_s=0.1, now_s=now_s
        )

    def test_others_answer_what_was_sent_later(self):
        self.timing.note_begun(KEY, 't2', sent_s=0.0)
        self.assertFalse(self.seems_lost(now_s=0.3))
        self.note(0.05, target_id='t2', sent_s=0.2)
        self.assertTrue(self.seems_lost(now_s=0.3))

    def test_answers_of_the_same_target_prove_nothing(self):
        self.timing.note_begun(KEY, 't2', sent_s=0.0)
        self.note(0.05, target_id='t1', sent_s=0.2)
        self.assertFalse(self.seems_lost(now_s=0.3))

    def test_all_targets_slow_alike(self):
        for number in range(4):
            self.timing.note_begun(KEY, f't{number}', sent_s=0.0)
        self.assertFalse(self.seems_lost(now_s=9.0))

    def test_nothing_else_is_under_way(self):
        number = self.timing.note_begun(KEY, 't2', sent_s=0.0)
        self.timing.note_ended(KEY, number)
        self.assertTrue(self.seems_lost(now_s=0.3))


class AllowanceTests(unittest.TestCase):
    def test_share_of_all_requests(self):
        allowance = hedging.HedgeAllowance()
        taken = 0
        for _ in range(1000):
            allowance.deposit()
            taken += allowance.withdraw()
        self.assertLessEqual(taken, 1000 * conf.HEDGE_SHARE + 1)
        self.assertGreater(taken, 1000 * conf.HEDGE_SHARE - 2)
