"""Test limits on calls to cold, leaving and unreported targets."""

import collections
import unittest

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from tests.routing import support


class ColdTargetTest(unittest.TestCase):
    """Check that cold targets get no more calls than their limit."""

    def count_sent(self, *, report, stamps=(100.0,)):
        """Return how many calls eight entries send to one cold target."""
        total = 0
        for number in range(8):
            request_router = support.make_router(
                targets=1, seed=number, entry=f'entry-{number}'
            )
            for stamp_s in stamps:
                if report:
                    event = support.make_report(
                        0, stamp_s=stamp_s, limit=3, cold=True
                    )
                    request_router.apply(event, now_s=0.0)
            for count in range(20):
                choice = request_router.choose(support.REQUEST, 0.0)
                if isinstance(choice, decisions.Chosen):
                    support.dispatch(
                        request_router, f'{count}', choice.target_id, now_s=0.0
                    )
                    total += 1
        return total

    def test_entries_together_keep_to_the_limit(self):
        """Divide the limit exactly in every rotation of the entries."""
        for stamp_s in range(100, 110):
            with self.subTest(stamp_s=stamp_s):
                sent = self.count_sent(report=True, stamps=(float(stamp_s),))
                self.assertEqual(3, sent)

    def test_queue_needs_a_report_and_no_recent_refusal(self):
        """Queue only at a target with a report that did not just refuse."""
        request_router = support.make_router(targets=1)
        request = support.REQUEST
        self.assertIsInstance(
            request_router.choose_queue(request, 0.0), decisions.NoTarget
        )
        report = support.make_report(0, limit=0, cold=True)
        request_router.apply(report, now_s=0.0)
        self.assertIsInstance(
            request_router.choose(request, 0.0), decisions.NoTarget
        )
        queued = request_router.choose_queue(request, 0.0)
        self.assertIs(decisions.ChoiceReason.QUEUED, queued.reason)
        support.dispatch(request_router, 'one', queued.target_id, now_s=0.0)
        refusal = events.Refused(
            call_id='one',
            target_id=queued.target_id,
            retry_after_s=1.0,
            reason=events.RefusalReason.OVERLOADED,
        )
        request_router.apply(refusal, now_s=0.0)
        self.assertIsInstance(
            request_router.choose_queue(request, 0.5), decisions.NoTarget
        )
        self.assertIsInstance(
            request_router.choose_queue(request, 1.5), decisions.Chosen
        )
        leaving = events.TargetLeaving(
            target_id=queued.target_id, incarnation=1
        )
        request_router.apply(leaving, now_s=1.5)
        self.assertIsInstance(
            request_router.choose_queue(request, 1.5), decisions.NoTarget
        )

    def test_refusal_of_one_team_blocks_no_other(self):
        request_router = support.make_router(targets=1)
        request_router.apply(support.make_report(0), now_s=0.0)
        large, small = (
            decisions.Request(service='letters', team=team)
            for team in ('large', 'small')
        )
        target_id = support.make_target_id(0)
        support.dispatch(
            request_router, 'one', target_id, now_s=0.0, team='large'
        )
        refusal = events.Refused(
            call_id='one',
            target_id=target_id,
            retry_after_s=1.0,
            reason=events.RefusalReason.OVERLOADED,
        )
        request_router.apply(refusal, now_s=0.0)
        for choose in (request_router.choose, request_router.choose_queue):
            with self.subTest(choose=choose.__name__):
                self.assertIsInstance(choose(large, 0.5), decisions.NoTarget)
                self.assertIsInstance(choose(small, 0.5), decisions.Chosen)
                self.assertIsInstance(choose(large, 1.5), decisions.Chosen)

    def test_long_queue_of_other_teams_does_not_refuse(self):
        """Let the target decide: only it has the queue of each team."""
        request_router = support.make_router(targets=1)
        report = support.make_report(
            0, running=1, queued=24, limit=1, estimated_wait_s=25.0
        )
        request_router.apply(report, now_s=0.0)
        request = decisions.Request(
            service='letters', team='small', remaining_s=20.0
        )
        self.assertIsInstance(
            request_router.choose(request, 0.0), decisions.NoTarget
        )
        queued = request_router.choose_queue(request, 0.0)
        self.assertIsInstance(queued, decisions.Chosen)

    def test_single_place_rotates_over_entries(self):
        """Let one entry of eight send the only call in one period of 8."""
        request_router = support.make_router(targets=1)
        turns = 0
        for stamp_s in range(100, 108):
            report = support.make_report(
                0, stamp_s=float(stamp_s), limit=1, cold=True
            )
            request_router.apply(report, now_s=0.0)
            choice = request_router.choose(support.REQUEST, 0.0)
            turns += isinstance(choice, decisions.Chosen)
        self.assertEqual(1, turns)

    def test_unreported_target_counts_as_cold(self):
        """Send a target without a report one call from all entries."""
        self.assertEqual(1, self.count_sent(report=False))

    def test_answers_of_earlier_registration_free_no_capacity(self):
        """Ignore calls that end after their target was added again."""
        request_router = support.make_router(targets=1, entries=1)
        support.warm(request_router, targets=1)
        for count in range(3):
            support.dispatch(request_router, f'{count}', 'target-0', now_s=0.0)
        gone = events.TargetGone(target_id='target-0', incarnation=1)
        request_router.apply(gone, now_s=0.0)
        request_router.apply(support.make_seen(0), now_s=0.0)
        request_router.plan_connections()
        request_router.apply(
            events.TargetReachable(target_id='target-0'), now_s=0.0
        )
        for count in range(3):
            support.finish(request_router, f'{count}', now_s=0.0)
        support.dispatch(request_router, 'new', 'target-0', now_s=0.0)
        self.assertIsInstance(
            request_router.choose(support.REQUEST, 0.0), decisions.NoTarget
        )

    def test_cold_refusal_stops_work_until_the_next_report(self):
        """Send no calls to a target that refused one because it is cold."""
        request_router = support.make_router(targets=1, entry='entry-3')
        support.warm(request_router, targets=1)
        self.assertEqual(
            {'target-0': 9}, support.choose_many(request_router, count=9)
        )
        support.dispatch(request_router, 'call', 'target-0', now_s=0.0)
        refusal = events.Refused(
            call_id='call',
            target_id='target-0',
            retry_after_s=1.0,
            reason=events.RefusalReason.COLD,
        )
        request_router.apply(refusal, now_s=0.0)
        for now_s in (0.5, 1.5):
            choice = request_router.choose(support.REQUEST, now_s)
            self.assertIsInstance(choice, decisions.NoTarget)
        request_router.apply(support.make_report(0, stamp_s=102.0), now_s=2.0)
        self.assertIsInstance(
            request_router.choose(support.REQUEST, 2.0), decisions.Chosen
        )

    def test_lost_connection_discards_the_report(self):
        """Send no calls without a connection, and one after it is back."""
        request_router = support.make_router(targets=1, entries=1)
        support.warm(request_router, targets=1)
        request_router.apply(
            events.TargetUnreachable(target_id='target-0'), now_s=1.0
        )
        self.assertIsInstance(
            request_router.choose(support.REQUEST, 1.0), decisions.NoTarget
        )
        request_router.apply(
            events.TargetReachable(target_id='target-0'), now_s=1.0
        )
        self.assertIsInstance(
            request_router.choose(support.REQUEST, 1.0), decisions.Chosen
        )
        support.dispatch(request_router, 'call', 'target-0', now_s=1.0)
        self.assertIsInstance(
            request_router.choose(support.REQUEST, 1.0), decisions.NoTarget
        )


class WarmUpTest(unittest.TestCase):
    """Check that a cold target gets calls that warm it up."""

    def make_router(self, **changes):
        """Return a router of busy targets; target 3 is cold."""
        request_router = support.make_router(entries=1)
        support.warm(request_router, running=8, **changes)
        self.report(request_router, 101.0, now_s=0.0, limit=2, cold=True)
        return request_router

    def report(self, request_router, stamp_s, *, now_s, **changes):
        """Apply a load report of target 3."""
        report = support.make_report(3, stamp_s=stamp_s, **changes)
        request_router.apply(report, now_s=now_s)

    def choose(self, request_router, *, priority, now_s=0.0):
        """Return the choice for a request of a priority."""
        request = decisions.Request(service='letters', priority=priority)
        return request_router.choose(request, now_s)

    def test_low_priority_warms_up_cold_targets(self):
        """Send priority 0 to the cold target, and priority 3 elsewhere."""
        request_router = self.make_router()
        for count in range(2):
            choice = self.choose(request_router, priority=0)
            self.assertEqual('target-3', choice.target_id)
            self.assertEqual(decisions.ChoiceReason.WARM_UP, choice.reason)
            support.dispatch(request_router, f'{count}', 'target-3', now_s=0.0)
        self.assertNotEqual(
            'target-3', self.choose(request_router, priority=0).target_id
        )
        request_router = self.make_router()
        reasons = {
            self.choose(request_router, priority=3).reason for _ in range(300)
        }
        self.assertEqual({decisions.ChoiceReason.SAMPLED}, reasons)

    def test_busy_peers_do_not_fill_a_cold_target(self):
        """Use the free capacity of a cold target when others are full."""
        request_router = self.make_router(queued=8)
        self.report(
            request_router, 102.0, now_s=1.0, running=1, limit=2, cold=True
        )
        choice = self.choose(request_router, priority=0, now_s=1.2)
        self.assertIsInstance(choice, decisions.Chosen)
        self.assertEqual('target-3', choice.target_id)

    def test_latency_while_cold_is_discarded_when_warm(self):
        """Give a warm target its share even if it was slow when cold."""
        request_router = self.make_router()
        support.dispatch(request_router, 'call', 'target-3', now_s=0.0)
        first = events.FirstToken(call_id='call', latency_s=5.0)
        request_router.apply(first, now_s=0.0)
        support.finish(request_router, 'call', now_s=0.0)
        self.report(request_router, 102.0, now_s=1.0, running=8)
        chosen = support.choose_many(request_router, count=300, now_s=1.0)
        self.assertGreater(chosen['target-3'], 10)


class SlowStartTest(unittest.TestCase):
    """Check warm targets that have not answered this entry yet."""

    def test_slow_start_spreads_calls_and_refuses_none(self):
        """Spread a burst evenly, up to the limits of the targets."""
        request_router = support.make_router(targets=3, entries=1)
        for number in range(3):
            request_router.apply(
                support.make_report(number, limit=4), now_s=0.0
            )
        chosen = collections.Counter()
        for count in range(12):
            choice = request_router.choose(
                decisions.Request(service='letters', priority=0), 0.0
            )
            self.assertIsInstance(choice, decisions.Chosen, count)
            chosen[choice.target_id] += 1
            support.dispatch(
                request_router, f'{count}', choice.target_id, now_s=0.0
            )
            if count == 2:
                self.assertEqual({1}, set(chosen.values()))
        self.assertEqual({4}, set(chosen.values()))


class LeavingTest(unittest.TestCase):
    """Check that leaving targets and data centres get no new calls."""

    def assert_avoids(self, request_router, target_ids):
        """Check that the targets get neither calls nor bindings."""
        chosen = support.choose_many(request_router, count=300, now_s=1.0)
        self.assertEqual(set(), target_ids & set(chosen))
        self.assertEqual(300, sum(chosen.values()))
        bound = {
            binding.target_id
            for _ in range(50)
            for binding in request_router.bindings(1.0)
        }
        self.assertEqual(set(), target_ids & bound)
        self.assertTrue(bound)

    def add_again(self, request_router, number, *, incarnation=1):
        """Add a target again, connect to it and report it as idle."""
        target_id = support.make_target_id(number)
        seen = support.make_seen(number, incarnation=incarnation)
        report = support.make_report(
            number, stamp_s=101.0, incarnation=incarnation
        )
        reachable = events.TargetReachable(target_id=target_id)
        for event in (seen, reachable, report):
            request_router.apply(event, now_s=1.0)
        request_router.plan_connections()

    def test_leaving_target_gets_nothing(self):
        """Ignore late events of a target that is leaving or gone."""
        request_router = support.make_router()
        support.warm(request_router, running=8)
        leaving = events.TargetLeaving(target_id='target-2', incarnation=1)
        gone = events.TargetGone(target_id='target-2', incarnation=1)
        for event in (leaving, gone):
            request_router.apply(event, now_s=1.0)
            self.assert_avoids(request_router, {'target-2'})
            self.add_again(request_router, 2)
            self.assert_avoids(request_router, {'target-2'})
        self.add_again(request_router, 2, incarnation=2)
        chosen = support.choose_many(request_router, count=300, now_s=1.0)
        self.assertIn('target-2', chosen)

    def test_gone_target_needs_a_connection_and_a_report(self):
        """Send no calls until the target is connected and has reported."""
        request_router = support.make_router(entries=1)
        support.warm(request_router, running=8)
        gone = events.TargetGone(target_id='target-2', incarnation=1)
        request_router.apply(gone, now_s=1.0)
        self.assert_avoids(request_router, {'target-2'})
        older = support.make_seen(2, incarnation=0)
        (rejected,) = request_router.apply(older, now_s=1.0)
        self.assertEqual(
            decisions.RejectionReason.OLD_INCARNATION, rejected.reason
        )
        request_router.apply(support.make_seen(2), now_s=1.0)
        request_router.plan_connections()
        self.assert_avoids(request_router, {'target-2'})
        self.add_again(request_router, 2)
        chosen = support.choose_many(request_router, count=300, now_s=1.0)
        self.assertIn('target-2', chosen)

    def test_data_centre_out_gets_nothing(self):
        """Ignore late events of targets in an excluded data centre."""
        request_router = support.make_router()
        support.warm(request_router, running=8)
        out = events.DataCentreStateChanged(
            data_centre='south', state=events.DataCentreState.OUT
        )
        request_router.apply(out, now_s=1.0)
        for number in range(1, 12, 3):
            self.add_again(request_router, number)
        self.assert_avoids(
            request_router,
            {support.make_target_id(number) for number in range(1, 12, 3)},
        )

    def test_all_data_centres_out_refuses_with_retry_time(self):
        """Refuse with a retry time when every data centre is out."""
        request_router = support.make_router()
        support.warm(request_router)
        everywhere = events.ConfigurationApplied(
            revision=2, data_centres_out=frozenset(support.DATA_CENTRES)
        )
        request_router.apply(everywhere, now_s=1.0)
        older = events.ConfigurationApplied(revision=1)
        (rejected,) = request_router.apply(older, now_s=1.0)
        self.assertEqual(
            decisions.RejectionReason.OLD_REVISION, rejected.reason
        )
        choice = request_router.choose(support.REQUEST, 1.0)
        self.assertEqual(decisions.NoTargetReason.ALL_OUT, choice.reason)
        self.assertGreater(choice.retry_after_s, 0.0)


class ReturningDataCentreTest(unittest.TestCase):
    """Check the share of calls of a data centre that is put back in."""

    def test_share_grows_with_answers_and_settles(self):
        """Start small, never shrink, and end at the fair share."""
        request_router = support.make_router(entries=1)
        support.warm(request_router, limit=64)
        for state in (events.DataCentreState.OUT, events.DataCentreState.IN):
            change = events.DataCentreStateChanged(
                data_centre='south', state=state
            )
            request_router.apply(change, now_s=1.0)
        shares = [
            self.run_round(request_router, number) for number in range(20)
        ]
        self.assertLessEqual(shares[0], 4)
        settled = next(
            number for number, share in enumerate(shares) if share >= 50
        )
        self.assertGreater(settled, 2)
        self.assertEqual(sorted(shares[: settled + 1]), shares[: settled + 1])
        for share in shares[settled:]:
            self.assertGreater(share, 40)
            self.assertLess(share, 100)

    def run_round(self, request_router, number):
        """Send and answer 180 calls; return the count of data centre south."""
        now_s = 2.0 + number
        for target in range(12):
            report = support.make_report(
                target, stamp_s=110.0 + number, limit=64
            )
            request_router.apply(report, now_s=now_s)
        share = 0
        for count in range(180):
            choice = request_router.choose(support.REQUEST, now_s)
            share += int(choice.target_id.split('-')[1]) % 3 == 1
            call_id = f'{number}-{count}'
            support.dispatch(
                request_router, call_id, choice.target_id, now_s=now_s
            )
        for count in range(180):
            support.finish(
                request_router, f'{number}-{count}', now_s=now_s + 0.5
            )
        return share
