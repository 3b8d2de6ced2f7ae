"""Test the index of prefix caches."""

import collections
import unittest

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from tests.routing import support


class PrefixCacheIndexTest(unittest.TestCase):
    """Check that cached digests are limited in number and dropped."""

    PROMPT = tuple(bytes([number]) for number in range(40))
    WARM_REQUEST = decisions.Request(service='letters', prefix_digests=PROMPT)

    def make_router(self):
        """Return a router with an event that target 7 cached the prompt."""
        request_router = support.make_router(affinity_steps=0)
        support.warm(request_router, running=8)
        self.apply_cache_event(request_router, sequence=5, added=self.PROMPT)
        return request_router

    def apply_cache_event(self, request_router, **changes):
        """Apply a cache event of target 7; return the decisions."""
        event = events.CacheEventSeen(
            target_id='target-7', incarnation=1, **changes
        )
        return request_router.apply(event, now_s=0.0)

    def count(self, request_router):
        """Return how many of 100 requests target 7 gets."""
        chosen = support.choose_many(
            request_router, count=100, request=self.WARM_REQUEST
        )
        return chosen['target-7']

    def test_caching_target_is_preferred_until_an_event_is_missing(self):
        """Drop digests on a gap, not on the next or a repeated event."""
        request_router = self.make_router()
        self.assertEqual(100, self.count(request_router))
        self.assertEqual(
            (), self.apply_cache_event(request_router, sequence=6)
        )
        (rejected,) = self.apply_cache_event(
            request_router, sequence=6, reset=True
        )
        self.assertEqual(
            decisions.RejectionReason.OUT_OF_ORDER, rejected.reason
        )
        self.assertEqual(100, self.count(request_router))
        (dropped,) = self.apply_cache_event(request_router, sequence=8)
        self.assertEqual((40, 'gap'), (dropped.count, dropped.reason))
        self.assertLess(self.count(request_router), 40)

    def test_digests_that_answers_disprove_lose_their_weight(self):
        """Weight cached digests by how often answers confirm them."""
        request_router = self.make_router()
        for number in range(15):
            call_id = f'call-{number}'
            support.dispatch(
                request_router,
                call_id,
                'target-7',
                now_s=0.0,
                prefix_digests=self.PROMPT,
            )
            answer = events.FirstToken(
                call_id=call_id, latency_s=0.2, cached_digests=0
            )
            request_router.apply(answer, now_s=0.0)
            support.finish(request_router, call_id, now_s=0.0)
        self.assertLess(self.count(request_router), 60)

    def test_gap_keeps_digests_that_a_recent_answer_confirmed(self):
        """Keep confirmed digests for 60 s despite a missing event."""
        for now_s, dropped in ((50.0, ()), (70.0, (40,))):
            with self.subTest(now_s=now_s):
                request_router = self.make_router()
                support.dispatch(
                    request_router,
                    'call',
                    'target-7',
                    now_s=0.0,
                    prefix_digests=self.PROMPT,
                )
                support.finish(request_router, 'call', now_s=0.0)
                event = events.CacheEventSeen(
                    target_id='target-7', incarnation=1, sequence=9
                )
                outcome = request_router.apply(event, now_s=now_s)
                self.assertEqual(
                    dropped, tuple(item.count for item in outcome)
                )

    def test_shared_prefix_does_not_attract_all_conversations(self):
        """Spread conversations that begin with the same prefix."""
        request_router = support.make_router()
        support.warm(request_router, running=8)
        for number in range(12):
            event = events.CacheEventSeen(
                target_id=support.make_target_id(number),
                incarnation=1,
                sequence=1,
                added=self.PROMPT,
            )
            request_router.apply(event, now_s=0.0)
        chosen = collections.Counter()
        for number in range(100):
            own = tuple(b'%d/%d' % (number, block) for block in range(20))
            request = decisions.Request(
                service='letters', prefix_digests=self.PROMPT + own
            )
            again = support.choose_many(
                request_router, count=3, request=request
            )
            self.assertEqual(1, len(again), number)
            chosen += again
        self.assertGreaterEqual(len(chosen), 10)
        self.assertLess(max(chosen.values()), 90)

    def test_evicted_prefix_is_no_longer_matched(self):
        """Match no further than the first evicted digest."""
        request_router = self.make_router()
        self.apply_cache_event(
            request_router, sequence=6, evicted=self.PROMPT[:1]
        )
        self.assertLess(self.count(request_router), 40)

    def test_reset_drops_and_size_is_bounded(self):
        """Drop all digests on a reset, and the oldest beyond the limit."""
        request_router = self.make_router()
        (dropped,) = self.apply_cache_event(
            request_router, sequence=6, reset=True
        )
        self.assertEqual((40, 'reset'), (dropped.count, dropped.reason))
        digests = tuple(b'%d' % number for number in range(5000))
        self.apply_cache_event(request_router, sequence=7, added=digests)
        (dropped,) = self.apply_cache_event(
            request_router, sequence=8, reset=True
        )
        self.assertLessEqual(dropped.count, 2000)

    def test_benefit_is_bounded(self):
        """Avoid a target whose queue costs more than its cache saves."""
        request_router = self.make_router()
        slow = support.make_report(
            7, stamp_s=101.0, running=16, estimated_wait_s=1.0
        )
        request_router.apply(slow, now_s=0.0)
        self.assertEqual(0, self.count(request_router))
