"""Test the choices of a router under load, change and bad reports."""

import collections
import math
import unittest

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from tests.routing import support

REQUEST = decisions.Request(service='letters')


def choose_many(routed, *, count, request=REQUEST, now_s=0.0):
    """Return how often each target is chosen, without dispatching."""
    chosen = collections.Counter()
    for _ in range(count):
        choice = routed.choose(request, now_s)
        if isinstance(choice, decisions.Chosen):
            chosen[choice.target_id] += 1
    return chosen


class HerdingTest(unittest.TestCase):
    """Check that entries acting on one report spread their work."""

    def test_idle_target_is_not_overrun_by_200_routers(self):
        """Bound the share of the only idle target of twelve."""
        chosen = collections.Counter()
        for seed in range(200):
            routed = support.make_router(seed=seed)
            support.warm(routed, running=14, queued=4, estimated_wait_s=1.0)
            idle = support.make_report(3, stamp_s=101.0)
            routed.apply(idle, now_s=0.0)
            chosen += choose_many(routed, count=1)
        self.assertGreater(chosen['target-3'], 200 / 12)
        self.assertLess(chosen['target-3'], 200 / 4)
        self.assertGreaterEqual(len(chosen), 10)


class ColdTargetTest(unittest.TestCase):
    """Check that cold targets get no more than they bear."""

    def fill(self, *, report, stamps=(100.0,)):
        """Return the calls that eight entries send to one cold target."""
        total = 0
        for number in range(8):
            routed = support.make_router(
                targets=1, seed=number, entry=f'entry-{number}'
            )
            for stamp_s in stamps:
                if report:
                    event = support.make_report(
                        0, stamp_s=stamp_s, limit=3, cold=True
                    )
                    routed.apply(event, now_s=0.0)
            for count in range(20):
                choice = routed.choose(REQUEST, 0.0)
                if isinstance(choice, decisions.Chosen):
                    support.dispatch(
                        routed, f'{count}', choice.target_id, now_s=0.0
                    )
                    total += 1
        return total

    def test_entries_together_keep_to_the_limit(self):
        """Share the limit exactly, whichever entries have their turn."""
        for stamp_s in range(100, 110):
            with self.subTest(stamp_s=stamp_s):
                filled = self.fill(report=True, stamps=(float(stamp_s),))
                self.assertEqual(3, filled)

    def test_unknown_target_counts_as_cold(self):
        """Send a target without any report one call in all."""
        self.assertEqual(1, self.fill(report=False))

    def test_cold_refusal_stops_work_until_the_next_report(self):
        """Hold work back from a target that says it is cold."""
        routed = support.make_router(targets=1, entry='entry-3')
        support.warm(routed, targets=1)
        self.assertEqual({'target-0': 9}, choose_many(routed, count=9))
        support.dispatch(routed, 'call', 'target-0', now_s=0.0)
        refusal = events.Refused(
            call_id='call',
            target_id='target-0',
            retry_after_s=1.0,
            reason=events.RefusalReason.COLD,
        )
        routed.apply(refusal, now_s=0.0)
        for now_s in (0.5, 1.5):
            choice = routed.choose(REQUEST, now_s)
            self.assertIsInstance(choice, decisions.NoTarget)
        routed.apply(support.make_report(0, stamp_s=102.0), now_s=2.0)
        self.assertIsInstance(routed.choose(REQUEST, 2.0), decisions.Chosen)

    def test_lost_connection_makes_a_target_unknown(self):
        """Give no work without a connection and one call after it."""
        routed = support.make_router(targets=1, entries=1)
        support.warm(routed, targets=1)
        routed.apply(events.TargetUnreachable(target_id='target-0'), now_s=1.0)
        self.assertIsInstance(routed.choose(REQUEST, 1.0), decisions.NoTarget)
        routed.apply(events.TargetReachable(target_id='target-0'), now_s=1.0)
        self.assertIsInstance(routed.choose(REQUEST, 1.0), decisions.Chosen)
        support.dispatch(routed, 'call', 'target-0', now_s=1.0)
        self.assertIsInstance(routed.choose(REQUEST, 1.0), decisions.NoTarget)


class ScoreTest(unittest.TestCase):
    """Check the parts of the score that need time or answers."""

    def test_old_report_counts_for_less(self):
        """Stop preferring a target whose idle report has grown old."""
        routed = support.make_router(random_candidates=6)
        support.warm(routed, running=8)
        routed.apply(support.make_report(3, stamp_s=101.0), now_s=0.0)
        fresh = choose_many(routed, count=300)
        for number in range(12):
            if number != 3:
                report = support.make_report(number, stamp_s=110.0, running=8)
                routed.apply(report, now_s=10.0)
        old = choose_many(routed, count=300, now_s=10.0)
        self.assertGreater(fresh['target-3'], 100)
        self.assertLess(old['target-3'], 60)

    def test_report_read_late_counts_as_old(self):
        """Discount a report that waited while the entry was paused."""
        routed = support.make_router(random_candidates=6)
        support.warm(routed, running=8)
        for number in range(12):
            late = number == 3
            report = support.make_report(
                number,
                stamp_s=101.0 if late else 160.0,
                running=0 if late else 8,
            )
            routed.apply(report, now_s=60.0)
        chosen = choose_many(routed, count=300, now_s=60.0)
        self.assertLess(chosen['target-3'], 60)

    def test_straggler_is_avoided_and_tried_again(self):
        """Avoid a slow target, and forget its slowness in time."""
        routed = support.make_router()
        support.warm(routed)
        support.dispatch(routed, 'call', 'target-3', now_s=0.0)
        first = events.FirstToken(call_id='call', latency_s=5.0)
        routed.apply(first, now_s=0.0)
        support.finish(routed, 'call', now_s=0.0)
        self.assertLess(choose_many(routed, count=300)['target-3'], 10)
        for number in range(12):
            report = support.make_report(number, stamp_s=190.0)
            routed.apply(report, now_s=90.0)
        later = choose_many(routed, count=300, now_s=90.0)
        self.assertGreater(later['target-3'], 10)


class BindingTest(unittest.TestCase):
    """Check the targets that new idempotency keys are bound to."""

    def test_keys_spread_over_targets_with_room(self):
        """Bind to all targets alike, but to none that is full or held."""
        routed = support.make_router()
        support.warm(routed)
        full = support.make_report(4, stamp_s=101.0, running=16, queued=32)
        routed.apply(full, now_s=0.0)
        support.dispatch(routed, 'call', 'target-7', now_s=0.0, priority=3)
        refusal = events.Refused(
            call_id='call',
            target_id='target-7',
            retry_after_s=1.0,
            reason=events.RefusalReason.OVERLOADED,
        )
        routed.apply(refusal, now_s=0.0)
        bound = collections.Counter(
            routed.bindings(0.0)[0].target_id for _ in range(1000)
        )
        self.assertEqual(10, len(bound))
        self.assertNotIn('target-4', bound)
        self.assertNotIn('target-7', bound)
        self.assertLess(max(bound.values()), 300)
        self.assertLessEqual(routed.bindings(0.0)[0].lifetime_s, 5.0)


class LeavingTest(unittest.TestCase):
    """Check that leaving targets and data centres get no new work."""

    def assert_avoids(self, routed, target_ids):
        """Check that neither calls nor keys go to the targets."""
        chosen = choose_many(routed, count=300, now_s=1.0)
        self.assertEqual(set(), target_ids & set(chosen))
        self.assertEqual(300, sum(chosen.values()))
        bound = {
            binding.target_id
            for _ in range(50)
            for binding in routed.bindings(1.0)
        }
        self.assertEqual(set(), target_ids & bound)
        self.assertTrue(bound)

    def revive(self, routed, number):
        """Apply late events of a target that must not bring it back."""
        target_id = support.make_target_id(number)
        routed.apply(support.make_seen(number), now_s=1.0)
        routed.apply(events.TargetReachable(target_id=target_id), now_s=1.0)
        routed.apply(support.make_report(number, stamp_s=101.0), now_s=1.0)
        routed.plan_connections()

    def test_leaving_target_gets_nothing(self):
        """Ignore late sightings and reports after a target leaves."""
        gone = events.TargetGone(target_id='target-2', incarnation=1)
        leaving = events.TargetLeaving(target_id='target-2', incarnation=1)
        for event in (leaving, gone):
            with self.subTest(event=event):
                routed = support.make_router()
                support.warm(routed, running=8)
                routed.apply(event, now_s=1.0)
                self.revive(routed, 2)
                self.assert_avoids(routed, {'target-2'})

    def test_data_centre_out_gets_nothing(self):
        """Ignore late reports after a data centre is taken out."""
        routed = support.make_router()
        support.warm(routed, running=8)
        out = events.DataCentreStateChanged(
            data_centre='south', state=events.DataCentreState.OUT
        )
        routed.apply(out, now_s=1.0)
        for number in range(1, 12, 3):
            self.revive(routed, number)
        self.assert_avoids(
            routed,
            {support.make_target_id(number) for number in range(1, 12, 3)},
        )

    def test_service_wholly_out_refuses_with_time_to_return(self):
        """Refuse at once when every data centre is out."""
        routed = support.make_router()
        support.warm(routed)
        everywhere = events.ConfigurationApplied(
            revision=2, data_centres_out=frozenset(support.DATA_CENTRES)
        )
        routed.apply(everywhere, now_s=1.0)
        older = events.ConfigurationApplied(revision=1)
        (rejected,) = routed.apply(older, now_s=1.0)
        self.assertEqual(
            decisions.RejectionReason.OLD_REVISION, rejected.reason
        )
        choice = routed.choose(REQUEST, 1.0)
        self.assertEqual(decisions.NoTargetReason.ALL_OUT, choice.reason)
        self.assertGreater(choice.retry_after_s, 0.0)


class ReportTest(unittest.TestCase):
    """Check that unusable reports change nothing."""

    def test_bad_reports_are_rejected_whole(self):
        """Name the reason and keep acting on the last good report."""
        reasons = decisions.RejectionReason
        cases = [
            ({'stamp_s': 100.0}, reasons.OUT_OF_ORDER),
            ({'stamp_s': 99.0}, reasons.OUT_OF_ORDER),
            ({'stamp_s': 1e9}, reasons.ABSURD_STAMP),
            ({'stamp_s': math.nan}, reasons.ABSURD_STAMP),
            ({'running': -1}, reasons.ABSURD_VALUE),
            ({'running': 1.5}, reasons.ABSURD_VALUE),
            ({'queued': 10**9}, reasons.ABSURD_VALUE),
            ({'limit': -4}, reasons.ABSURD_VALUE),
            ({'estimated_wait_s': math.inf}, reasons.ABSURD_VALUE),
            ({'kv_free_ratio': 1.5}, reasons.ABSURD_VALUE),
            ({'incarnation': 0}, reasons.OLD_INCARNATION),
            ({'incarnation': 2}, reasons.UNKNOWN_INCARNATION),
            ({'target_id': 'target-77'}, reasons.UNKNOWN_TARGET),
        ]
        for changes, reason in cases:
            with self.subTest(changes=changes):
                routed = support.make_router(targets=2, entries=1)
                support.warm(routed, targets=2)
                full = {'stamp_s': 101.0, 'limit': 0}
                bad = support.make_report(0, **(full | changes))
                (rejected,) = routed.apply(bad, now_s=0.0)
                self.assertEqual(reason, rejected.reason)
                chosen = choose_many(routed, count=200)
                self.assertGreater(chosen['target-0'], 50)


class CacheBeliefTest(unittest.TestCase):
    """Check that beliefs about prefix caches are bounded and dropped."""

    PROMPT = tuple(bytes([number]) for number in range(40))
    WARM_REQUEST = decisions.Request(service='letters', prefix_digests=PROMPT)

    def make_router(self):
        """Return a router that believes one target holds the prompt."""
        routed = support.make_router(affinity_steps=0)
        support.warm(routed, running=8)
        self.see(routed, sequence=5, added=self.PROMPT)
        return routed

    def see(self, routed, **changes):
        """Apply a cache event of target 7; return the decisions."""
        event = events.CacheEventSeen(
            target_id='target-7', incarnation=1, **changes
        )
        return routed.apply(event, now_s=0.0)

    def count(self, routed):
        """Return how many of 100 requests the believed holder gets."""
        chosen = choose_many(routed, count=100, request=self.WARM_REQUEST)
        return chosen['target-7']

    def test_holder_is_preferred_until_an_event_is_missing(self):
        """Drop beliefs on a gap, not on the next or a repeated event."""
        routed = self.make_router()
        self.assertEqual(100, self.count(routed))
        self.assertEqual((), self.see(routed, sequence=6))
        (rejected,) = self.see(routed, sequence=6, reset=True)
        self.assertEqual(
            decisions.RejectionReason.OUT_OF_ORDER, rejected.reason
        )
        self.assertEqual(100, self.count(routed))
        (dropped,) = self.see(routed, sequence=8)
        self.assertEqual((40, 'gap'), (dropped.count, dropped.reason))
        self.assertLess(self.count(routed), 40)

    def test_beliefs_that_answers_disprove_lose_their_weight(self):
        """Trust a target's cache events as far as answers confirm them."""
        routed = self.make_router()
        for number in range(15):
            call_id = f'call-{number}'
            support.dispatch(
                routed,
                call_id,
                'target-7',
                now_s=0.0,
                prefix_digests=self.PROMPT,
            )
            answer = events.FirstToken(
                call_id=call_id, latency_s=0.2, cached_digests=0
            )
            routed.apply(answer, now_s=0.0)
            support.finish(routed, call_id, now_s=0.0)
        self.assertLess(self.count(routed), 60)

    def test_gap_keeps_what_an_answer_showed_lately(self):
        """Trust an answer for a minute beyond a missing event."""
        for now_s, dropped in ((50.0, ()), (70.0, (40,))):
            with self.subTest(now_s=now_s):
                routed = self.make_router()
                support.dispatch(
                    routed,
                    'call',
                    'target-7',
                    now_s=0.0,
                    prefix_digests=self.PROMPT,
                )
                support.finish(routed, 'call', now_s=0.0)
                event = events.CacheEventSeen(
                    target_id='target-7', incarnation=1, sequence=9
                )
                outcome = routed.apply(event, now_s=now_s)
                self.assertEqual(
                    dropped, tuple(item.count for item in outcome)
                )

    def test_shared_prefix_does_not_draw_all_conversations(self):
        """Spread conversations that begin with one popular prefix."""
        routed = support.make_router()
        support.warm(routed, running=8)
        for number in range(12):
            event = events.CacheEventSeen(
                target_id=support.make_target_id(number),
                incarnation=1,
                sequence=1,
                added=self.PROMPT,
            )
            routed.apply(event, now_s=0.0)
        chosen = collections.Counter()
        for number in range(100):
            own = tuple(b'%d/%d' % (number, block) for block in range(20))
            request = decisions.Request(
                service='letters', prefix_digests=self.PROMPT + own
            )
            again = choose_many(routed, count=3, request=request)
            self.assertEqual(1, len(again), number)
            chosen += again
        self.assertGreaterEqual(len(chosen), 10)
        self.assertLess(max(chosen.values()), 90)

    def test_evicted_prefix_is_no_longer_matched(self):
        """Match no further than the first evicted digest."""
        routed = self.make_router()
        self.see(routed, sequence=6, evicted=self.PROMPT[:1])
        self.assertLess(self.count(routed), 40)

    def test_benefit_is_bounded(self):
        """Leave a holder whose queue costs more than its cache saves."""
        routed = self.make_router()
        slow = support.make_report(
            7, stamp_s=101.0, running=16, estimated_wait_s=1.0
        )
        routed.apply(slow, now_s=0.0)
        self.assertEqual(0, self.count(routed))


class PriorityTest(unittest.TestCase):
    """Check the order in which work is refused."""

    def test_less_important_work_is_refused_first(self):
        """Refuse by importance while the load grows."""
        accepted = []
        for queued in (0, 4, 12, 24, 60):
            routed = support.make_router(entries=1)
            support.warm(routed, running=16, queued=queued)
            accepted.append(
                [
                    isinstance(
                        routed.choose(
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


class ReturningDataCentreTest(unittest.TestCase):
    """Check the share of a data centre that comes back."""

    def test_share_grows_with_evidence_and_settles(self):
        """Start small, never fall back, end at the fair share."""
        routed = support.make_router(entries=1)
        support.warm(routed, limit=64)
        for state in (events.DataCentreState.OUT, events.DataCentreState.IN):
            change = events.DataCentreStateChanged(
                data_centre='south', state=state
            )
            routed.apply(change, now_s=1.0)
        shares = [self.run_round(routed, number) for number in range(20)]
        self.assertLessEqual(shares[0], 4)
        settled = next(
            number for number, share in enumerate(shares) if share >= 50
        )
        self.assertGreater(settled, 2)
        self.assertEqual(sorted(shares[: settled + 1]), shares[: settled + 1])
        for share in shares[settled:]:
            self.assertGreater(share, 40)
            self.assertLess(share, 100)

    def run_round(self, routed, number):
        """Send 180 calls and answer them; return the returned one's share."""
        now_s = 2.0 + number
        for target in range(12):
            report = support.make_report(
                target, stamp_s=110.0 + number, limit=64
            )
            routed.apply(report, now_s=now_s)
        share = 0
        for count in range(180):
            choice = routed.choose(REQUEST, now_s)
            share += int(choice.target_id.split('-')[1]) % 3 == 1
            call_id = f'{number}-{count}'
            support.dispatch(routed, call_id, choice.target_id, now_s=now_s)
        for count in range(180):
            support.finish(routed, f'{number}-{count}', now_s=now_s + 0.5)
        return share
