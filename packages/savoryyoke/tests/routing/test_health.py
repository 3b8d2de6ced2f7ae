"""Test that work keeps away from cold, leaving and unknown targets."""

import collections
import unittest

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from tests.routing import support


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
                choice = routed.choose(support.REQUEST, 0.0)
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

    def test_queue_is_a_last_resort_that_refusals_close(self):
        """Queue at a known target, not at an unknown, held or left one."""
        routed = support.make_router(targets=1)
        request = support.REQUEST
        self.assertIsInstance(
            routed.choose_queue(request, 0.0), decisions.NoTarget
        )
        report = support.make_report(0, limit=0, cold=True)
        routed.apply(report, now_s=0.0)
        self.assertIsInstance(routed.choose(request, 0.0), decisions.NoTarget)
        queued = routed.choose_queue(request, 0.0)
        self.assertIs(decisions.ChoiceReason.QUEUED, queued.reason)
        support.dispatch(routed, 'one', queued.target_id, now_s=0.0)
        refusal = events.Refused(
            call_id='one',
            target_id=queued.target_id,
            retry_after_s=1.0,
            reason=events.RefusalReason.OVERLOADED,
        )
        routed.apply(refusal, now_s=0.0)
        self.assertIsInstance(
            routed.choose_queue(request, 0.5), decisions.NoTarget
        )
        self.assertIsInstance(
            routed.choose_queue(request, 1.5), decisions.Chosen
        )
        leaving = events.TargetLeaving(
            target_id=queued.target_id, incarnation=1
        )
        routed.apply(leaving, now_s=1.5)
        self.assertIsInstance(
            routed.choose_queue(request, 1.5), decisions.NoTarget
        )

    def test_refusal_of_one_team_keeps_no_other_away(self):
        routed = support.make_router(targets=1)
        routed.apply(support.make_report(0), now_s=0.0)
        large, small = (
            decisions.Request(service='letters', team=team)
            for team in ('large', 'small')
        )
        target_id = support.make_target_id(0)
        support.dispatch(routed, 'one', target_id, now_s=0.0, team='large')
        refusal = events.Refused(
            call_id='one',
            target_id=target_id,
            retry_after_s=1.0,
            reason=events.RefusalReason.OVERLOADED,
        )
        routed.apply(refusal, now_s=0.0)
        for choose in (routed.choose, routed.choose_queue):
            with self.subTest(choose=choose.__name__):
                self.assertIsInstance(choose(large, 0.5), decisions.NoTarget)
                self.assertIsInstance(choose(small, 0.5), decisions.Chosen)
                self.assertIsInstance(choose(large, 1.5), decisions.Chosen)

    def test_long_queue_of_others_is_no_reason_to_refuse(self):
        """Leave it to the target, which knows the place of each team."""
        routed = support.make_router(targets=1)
        report = support.make_report(
            0, running=1, queued=24, limit=1, estimated_wait_s=25.0
        )
        routed.apply(report, now_s=0.0)
        request = decisions.Request(
            service='letters', team='small', remaining_s=20.0
        )
        self.assertIsInstance(routed.choose(request, 0.0), decisions.NoTarget)
        queued = routed.choose_queue(request, 0.0)
        self.assertIsInstance(queued, decisions.Chosen)

    def test_every_entry_gets_its_turn(self):
        """Let an entry that alone has traffic try a cold target in time."""
        routed = support.make_router(targets=1)
        turns = 0
        for stamp_s in range(100, 108):
            report = support.make_report(
                0, stamp_s=float(stamp_s), limit=1, cold=True
            )
            routed.apply(report, now_s=0.0)
            choice = routed.choose(support.REQUEST, 0.0)
            turns += isinstance(choice, decisions.Chosen)
        self.assertEqual(1, turns)

    def test_unknown_target_counts_as_cold(self):
        """Send a target without any report one call in all."""
        self.assertEqual(1, self.fill(report=False))

    def test_answers_from_before_make_no_room(self):
        """Ignore calls that ended after their target was taken anew."""
        routed = support.make_router(targets=1, entries=1)
        support.warm(routed, targets=1)
        for count in range(3):
            support.dispatch(routed, f'{count}', 'target-0', now_s=0.0)
        gone = events.TargetGone(target_id='target-0', incarnation=1)
        routed.apply(gone, now_s=0.0)
        routed.apply(support.make_seen(0), now_s=0.0)
        routed.plan_connections()
        routed.apply(events.TargetReachable(target_id='target-0'), now_s=0.0)
        for count in range(3):
            support.finish(routed, f'{count}', now_s=0.0)
        support.dispatch(routed, 'new', 'target-0', now_s=0.0)
        self.assertIsInstance(
            routed.choose(support.REQUEST, 0.0), decisions.NoTarget
        )

    def test_cold_refusal_stops_work_until_the_next_report(self):
        """Hold work back from a target that says it is cold."""
        routed = support.make_router(targets=1, entry='entry-3')
        support.warm(routed, targets=1)
        self.assertEqual({'target-0': 9}, support.choose_many(routed, count=9))
        support.dispatch(routed, 'call', 'target-0', now_s=0.0)
        refusal = events.Refused(
            call_id='call',
            target_id='target-0',
            retry_after_s=1.0,
            reason=events.RefusalReason.COLD,
        )
        routed.apply(refusal, now_s=0.0)
        for now_s in (0.5, 1.5):
            choice = routed.choose(support.REQUEST, now_s)
            self.assertIsInstance(choice, decisions.NoTarget)
        routed.apply(support.make_report(0, stamp_s=102.0), now_s=2.0)
        self.assertIsInstance(
            routed.choose(support.REQUEST, 2.0), decisions.Chosen
        )

    def test_lost_connection_makes_a_target_unknown(self):
        """Give no work without a connection and one call after it."""
        routed = support.make_router(targets=1, entries=1)
        support.warm(routed, targets=1)
        routed.apply(events.TargetUnreachable(target_id='target-0'), now_s=1.0)
        self.assertIsInstance(
            routed.choose(support.REQUEST, 1.0), decisions.NoTarget
        )
        routed.apply(events.TargetReachable(target_id='target-0'), now_s=1.0)
        self.assertIsInstance(
            routed.choose(support.REQUEST, 1.0), decisions.Chosen
        )
        support.dispatch(routed, 'call', 'target-0', now_s=1.0)
        self.assertIsInstance(
            routed.choose(support.REQUEST, 1.0), decisions.NoTarget
        )


class WarmUpTest(unittest.TestCase):
    """Check that a cold target gets the work that warms it up."""

    def make_router(self, **changes):
        """Return a router of busy targets, one of them cold."""
        routed = support.make_router(entries=1)
        support.warm(routed, running=8, **changes)
        self.report(routed, 101.0, now_s=0.0, limit=2, cold=True)
        return routed

    def report(self, routed, stamp_s, *, now_s, **changes):
        """Report target 3."""
        report = support.make_report(3, stamp_s=stamp_s, **changes)
        routed.apply(report, now_s=now_s)

    def choose(self, routed, *, priority, now_s=0.0):
        """Return the choice for a request of some importance."""
        request = decisions.Request(service='letters', priority=priority)
        return routed.choose(request, now_s)

    def test_work_that_can_wait_goes_first(self):
        """Send batch work to the cold target, and decisions elsewhere."""
        routed = self.make_router()
        for count in range(2):
            choice = self.choose(routed, priority=0)
            self.assertEqual('target-3', choice.target_id)
            self.assertEqual(decisions.ChoiceReason.WARM_UP, choice.reason)
            support.dispatch(routed, f'{count}', 'target-3', now_s=0.0)
        self.assertNotEqual(
            'target-3', self.choose(routed, priority=0).target_id
        )
        routed = self.make_router()
        reasons = {self.choose(routed, priority=3).reason for _ in range(300)}
        self.assertEqual({decisions.ChoiceReason.SAMPLED}, reasons)

    def test_busy_peers_do_not_fill_a_cold_target(self):
        """Use the free place of a cold target when all others are full."""
        routed = self.make_router(queued=8)
        self.report(routed, 102.0, now_s=1.0, running=1, limit=2, cold=True)
        choice = self.choose(routed, priority=0, now_s=1.2)
        self.assertIsInstance(choice, decisions.Chosen)
        self.assertEqual('target-3', choice.target_id)

    def test_slowness_while_cold_is_forgotten_when_warm(self):
        """Give a warm target its share, however slow it was when cold."""
        routed = self.make_router()
        support.dispatch(routed, 'call', 'target-3', now_s=0.0)
        first = events.FirstToken(call_id='call', latency_s=5.0)
        routed.apply(first, now_s=0.0)
        support.finish(routed, 'call', now_s=0.0)
        self.report(routed, 102.0, now_s=1.0, running=8)
        chosen = support.choose_many(routed, count=300, now_s=1.0)
        self.assertGreater(chosen['target-3'], 10)


class SlowStartTest(unittest.TestCase):
    """Check warm targets that have not answered this entry yet."""

    def test_slow_start_spreads_calls_and_refuses_none(self):
        """Take a burst up to the targets' limits, evenly."""
        routed = support.make_router(targets=3, entries=1)
        for number in range(3):
            routed.apply(support.make_report(number, limit=4), now_s=0.0)
        chosen = collections.Counter()
        for count in range(12):
            choice = routed.choose(
                decisions.Request(service='letters', priority=0), 0.0
            )
            self.assertIsInstance(choice, decisions.Chosen, count)
            chosen[choice.target_id] += 1
            support.dispatch(routed, f'{count}', choice.target_id, now_s=0.0)
            if count == 2:
                self.assertEqual({1}, set(chosen.values()))
        self.assertEqual({4}, set(chosen.values()))


class LeavingTest(unittest.TestCase):
    """Check that leaving targets and data centres get no new work."""

    def assert_avoids(self, routed, target_ids):
        """Check that neither calls nor keys go to the targets."""
        chosen = support.choose_many(routed, count=300, now_s=1.0)
        self.assertEqual(set(), target_ids & set(chosen))
        self.assertEqual(300, sum(chosen.values()))
        bound = {
            binding.target_id
            for _ in range(50)
            for binding in routed.bindings(1.0)
        }
        self.assertEqual(set(), target_ids & bound)
        self.assertTrue(bound)

    def revive(self, routed, number, *, incarnation=1):
        """Show a target again, connect to it and report it as idle."""
        target_id = support.make_target_id(number)
        seen = support.make_seen(number, incarnation=incarnation)
        report = support.make_report(
            number, stamp_s=101.0, incarnation=incarnation
        )
        reachable = events.TargetReachable(target_id=target_id)
        for event in (seen, reachable, report):
            routed.apply(event, now_s=1.0)
        routed.plan_connections()

    def test_leaving_target_gets_nothing(self):
        """Ignore late sightings and reports after a target leaves."""
        routed = support.make_router()
        support.warm(routed, running=8)
        leaving = events.TargetLeaving(target_id='target-2', incarnation=1)
        gone = events.TargetGone(target_id='target-2', incarnation=1)
        for event in (leaving, gone):
            routed.apply(event, now_s=1.0)
            self.assert_avoids(routed, {'target-2'})
            self.revive(routed, 2)
            self.assert_avoids(routed, {'target-2'})
        self.revive(routed, 2, incarnation=2)
        chosen = support.choose_many(routed, count=300, now_s=1.0)
        self.assertIn('target-2', chosen)

    def test_gone_target_needs_a_connection_and_a_report(self):
        """Ignore sightings alone; trust anew what is connected again."""
        routed = support.make_router(entries=1)
        support.warm(routed, running=8)
        gone = events.TargetGone(target_id='target-2', incarnation=1)
        routed.apply(gone, now_s=1.0)
        self.assert_avoids(routed, {'target-2'})
        older = support.make_seen(2, incarnation=0)
        (rejected,) = routed.apply(older, now_s=1.0)
        self.assertEqual(
            decisions.RejectionReason.OLD_INCARNATION, rejected.reason
        )
        routed.apply(support.make_seen(2), now_s=1.0)
        routed.plan_connections()
        self.assert_avoids(routed, {'target-2'})
        self.revive(routed, 2)
        chosen = support.choose_many(routed, count=300, now_s=1.0)
        self.assertIn('target-2', chosen)

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
        choice = routed.choose(support.REQUEST, 1.0)
        self.assertEqual(decisions.NoTargetReason.ALL_OUT, choice.reason)
        self.assertGreater(choice.retry_after_s, 0.0)


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
            choice = routed.choose(support.REQUEST, now_s)
            share += int(choice.target_id.split('-')[1]) % 3 == 1
            call_id = f'{number}-{count}'
            support.dispatch(routed, call_id, choice.target_id, now_s=now_s)
        for count in range(180):
            support.finish(routed, f'{number}-{count}', now_s=now_s + 0.5)
        return share
