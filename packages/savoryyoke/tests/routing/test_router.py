"""Test the choices of a router under load."""

import collections
import unittest

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from tests.routing import support


class HerdingTest(unittest.TestCase):
    """Check that entries with the same reports spread their calls."""

    def test_idle_target_is_not_overrun_by_200_routers(self):
        """Limit the share of the only idle one of twelve targets."""
        chosen = collections.Counter()
        for seed in range(200):
            request_router = support.make_router(seed=seed)
            support.warm(
                request_router, running=14, queued=4, estimated_wait_s=1.0
            )
            idle = support.make_report(3, stamp_s=101.0)
            request_router.apply(idle, now_s=0.0)
            chosen += support.choose_many(request_router, count=1)
        self.assertGreater(chosen['target-3'], 200 / 12)
        self.assertLess(chosen['target-3'], 200 / 4)
        self.assertGreaterEqual(len(chosen), 10)


class ScoreTest(unittest.TestCase):
    """Check the parts of the score that depend on time or answers."""

    def test_old_report_counts_for_less(self):
        """Stop preferring an idle target as its report gets old."""
        request_router = support.make_router(random_candidates=6)
        support.warm(request_router, running=8)
        request_router.apply(support.make_report(3, stamp_s=101.0), now_s=0.0)
        fresh = support.choose_many(request_router, count=300)
        for number in range(12):
            if number != 3:
                report = support.make_report(number, stamp_s=110.0, running=8)
                request_router.apply(report, now_s=10.0)
        old = support.choose_many(request_router, count=300, now_s=10.0)
        self.assertGreater(fresh['target-3'], 100)
        self.assertLess(old['target-3'], 60)

    def test_report_read_late_counts_as_old(self):
        """Discount a report that was queued while the entry was paused."""
        request_router = support.make_router(random_candidates=6)
        support.warm(request_router, running=8)
        for number in range(12):
            late = number == 3
            report = support.make_report(
                number,
                stamp_s=101.0 if late else 160.0,
                running=0 if late else 8,
            )
            request_router.apply(report, now_s=60.0)
        chosen = support.choose_many(request_router, count=300, now_s=60.0)
        self.assertLess(chosen['target-3'], 60)

    def test_straggler_is_avoided_and_tried_again(self):
        """Avoid a slow target, and try it again after 90 s."""
        request_router = support.make_router()
        support.warm(request_router)
        support.dispatch(request_router, 'call', 'target-3', now_s=0.0)
        first = events.FirstToken(call_id='call', latency_s=5.0)
        request_router.apply(first, now_s=0.0)
        support.finish(request_router, 'call', now_s=0.0)
        self.assertLess(
            support.choose_many(request_router, count=300)['target-3'], 10
        )
        for number in range(12):
            report = support.make_report(number, stamp_s=190.0)
            request_router.apply(report, now_s=90.0)
        later = support.choose_many(request_router, count=300, now_s=90.0)
        self.assertGreater(later['target-3'], 10)

    def test_slow_generation_is_avoided(self):
        """Avoid a target with a long time between tokens only."""
        request_router = support.make_router()
        support.warm(request_router)
        for number in range(12):
            call_id = f'call-{number}'
            target_id = support.make_target_id(number)
            support.dispatch(request_router, call_id, target_id, now_s=0.0)
            token_s = 0.05 if number == 3 else 0.02
            support.finish(request_router, call_id, now_s=0.0, token_s=token_s)
        request_router.apply(support.make_report(0, stamp_s=101.0), now_s=0.0)
        chosen = support.choose_many(request_router, count=300)
        self.assertLess(chosen['target-3'], 10)
        self.assertEqual(12 - 1, len(set(chosen) - {'target-3'}))

    def test_target_that_fails_at_once_is_avoided(self):
        """Avoid an idle target whose calls fail; try it again after 90 s."""
        request_router = support.make_router()
        support.warm(request_router, running=8)
        request_router.apply(support.make_report(3, stamp_s=101.0), now_s=0.0)
        before = support.choose_many(request_router, count=300)
        support.dispatch(request_router, 'call', 'target-3', now_s=0.0)
        (rejected,) = support.dispatch(
            request_router, 'call', 'target-5', now_s=0.0
        )
        self.assertEqual(
            decisions.RejectionReason.DUPLICATE_CALL, rejected.reason
        )
        failed = events.Completed(
            call_id='call', outcome=events.Outcome.FAILED, latency_s=0.01
        )
        request_router.apply(failed, now_s=0.0)
        after = support.choose_many(request_router, count=300)
        self.assertGreater(before['target-3'], 30)
        self.assertLess(after['target-3'], 10)
        for number in range(12):
            report = support.make_report(number, stamp_s=190.0)
            request_router.apply(report, now_s=90.0)
        later = support.choose_many(request_router, count=300, now_s=90.0)
        self.assertGreater(later['target-3'], 10)


class ModelTest(unittest.TestCase):
    """Check that requests go to targets with their model loaded."""

    def report(self, request_router, number, *models, stamp_s=100.0):
        """Report the models of a target; return the decisions."""
        event = events.ModelsReported(
            target_id=support.make_target_id(number),
            incarnation=1,
            stamp_s=stamp_s,
            models=frozenset(models),
        )
        return request_router.apply(event, now_s=0.0)

    def test_only_targets_with_the_model_are_chosen(self):
        """Choose the only target with the model; refuse without one."""
        request_router = support.make_router()
        support.warm(request_router)
        for number in range(12):
            self.report(
                request_router, number, 'large' if number == 5 else 'small'
            )
        (rejected,) = self.report(request_router, 5, 'small', stamp_s=99.0)
        self.assertEqual(
            decisions.RejectionReason.OUT_OF_ORDER, rejected.reason
        )
        large = decisions.Request(service='letters', model='large')
        chosen = support.choose_many(request_router, count=100, request=large)
        self.assertEqual({'target-5': 100}, chosen)
        self.report(request_router, 5, 'small', stamp_s=101.0)
        refusal = request_router.choose(large, 0.0)
        self.assertEqual(decisions.NoTargetReason.NOT_LOADED, refusal.reason)


class PriorityTest(unittest.TestCase):
    """Check the order in which requests are refused."""

    def test_lower_priority_is_refused_first(self):
        """Refuse by priority while the load grows."""
        accepted = []
        for queued in (0, 4, 12, 24, 60):
            request_router = support.make_router(entries=1)
            support.warm(request_router, running=16, queued=queued)
            accepted.append(
                [
                    isinstance(
                        request_router.choose(
                            decisions.Request(
                                service='letters', priority=priority
                            ),
                            0.0,
                        ),
                        decisions.Chosen,
                    )
                    for priority in range(4)
                ]
            )
        self.assertEqual(
            [
                [False, True, True, True],
                [False, True, True, True],
                [False, False, True, True],
                [False, False, False, True],
                [False, False, False, False],
            ],
            accepted,
        )


class BindingTest(unittest.TestCase):
    """Check the targets that new idempotency keys are bound to."""

    def test_keys_spread_over_targets_with_capacity(self):
        """Bind to all targets except full ones and those that refused."""
        request_router = support.make_router()
        support.warm(request_router)
        full = support.make_report(4, stamp_s=101.0, running=16, queued=32)
        request_router.apply(full, now_s=0.0)
        support.dispatch(
            request_router, 'call', 'target-7', now_s=0.0, priority=3
        )
        refusal = events.Refused(
            call_id='call',
            target_id='target-7',
            retry_after_s=1.0,
            reason=events.RefusalReason.OVERLOADED,
        )
        request_router.apply(refusal, now_s=0.0)
        bound = collections.Counter(
            request_router.bindings(0.0)[0].target_id for _ in range(1000)
        )
        self.assertEqual(10, len(bound))
        self.assertNotIn('target-4', bound)
        self.assertNotIn('target-7', bound)
        self.assertLess(max(bound.values()), 300)
        self.assertLessEqual(request_router.bindings(0.0)[0].lifetime_s, 5.0)
