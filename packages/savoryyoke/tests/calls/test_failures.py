"""Test calls while entries and targets fail."""

import unittest

from savoryyoke.calls import outcomes
from savoryyoke.calls.testing import oracle as oracles
from savoryyoke.calls.testing import world as worlds


class FailureTest(unittest.TestCase):
    """Check the outcome of calls in each failure.

    The oracle raises ``FalseAnswer`` on a second run or an untrue answer.
    """

    def setUp(self):
        super().setUp()
        self.oracle = oracles.Oracle()
        self.world = worlds.World(oracle=self.oracle)
        self.world.advance(0.5)
        self.world.broadcast_stamps()
        self.key = self.world.make_key('t0', suffix='k')

    def call(self, entry_id, key=None, **options):
        attempt_id = self.world.call(entry_id, key or self.key, **options)
        self.world.deliver_all()
        return attempt_id

    def serve(self, target_id='t0'):
        self.world.hand_over(target_id)
        self.world.complete(target_id)
        self.world.deliver_all()

    def assert_outcome(self, kind, attempt_id, reason=None):
        outcome = self.world.outcomes_by_attempt[attempt_id]
        self.assertIsInstance(outcome, kind)
        if reason is not None:
            self.assertEqual(reason, outcome.reason)

    def pass_seal_hold(self):
        self.world.advance(2.0)
        self.world.broadcast_stamps()

    def test_entry_frozen_after_sending_resumes_after_the_repeat(self):
        first_id = self.world.call('e0', self.key)
        self.world.freeze('e0')
        (delayed_offer,) = self.world.messages
        self.world.messages.clear()
        repeat_id = self.call('e1')
        self.serve()
        self.assert_outcome(outcomes.Ran, repeat_id)
        self.world.messages.append(delayed_offer)
        self.world.deliver_all()
        self.world.advance(1.0)
        self.world.thaw('e0')
        self.assert_outcome(outcomes.Ran, first_id)

    def test_refusal_read_after_a_pause_is_sealed_again_first(self):
        first_id = self.call('e0')
        self.world.freeze('e0')
        self.world.refuse('t0')
        self.world.deliver_all()
        self.pass_seal_hold()
        self.call('e1')
        self.serve()
        self.world.thaw('e0')
        self.world.deliver_all()
        self.assert_outcome(outcomes.Ran, first_id)

    def test_request_that_waited_in_a_frozen_entry_is_not_run(self):
        for pause_s in (0.2, 3.0):
            with self.subTest(pause_s=pause_s):
                key = self.world.make_key('t0', suffix=f'pause-{pause_s}')
                self.world.freeze('e0')
                waited_id = self.world.call('e0', key)
                self.call('e1', key)
                self.world.refuse('t0')
                self.world.deliver_all()
                self.world.advance(pause_s)
                self.world.broadcast_stamps()
                self.world.thaw('e0')
                self.world.deliver_all()
                self.assert_outcome(outcomes.NotRun, waited_id)
                self.pass_seal_hold()

    def test_target_dies_after_the_hand_over_and_is_restarted(self):
        first_id = self.call('e0')
        self.world.hand_over('t0')
        self.world.stop('t0')
        self.world.start('t0')
        self.world.broadcast_stamps()
        repeat_id = self.call('e1')
        reason = outcomes.MayHaveRunReason.INCARNATION_GONE
        self.assert_outcome(outcomes.MayHaveRun, repeat_id, reason)
        self.serve()
        self.world.advance(5.1)
        self.assert_outcome(outcomes.MayHaveRun, first_id)

    def test_application_is_replaced_while_the_target_lives(self):
        lost_id = self.call('e0')
        self.world.hand_over('t0')
        queued_id = self.call('e0', self.world.make_key('t0', suffix='queued'))
        self.world.replace_application('t0')
        self.world.deliver_all()
        reason = outcomes.MayHaveRunReason.APPLICATION_LOST
        self.assert_outcome(outcomes.MayHaveRun, lost_id, reason)
        self.assert_outcome(outcomes.MayHaveRun, self.call('e1'), reason)
        self.serve()
        self.assert_outcome(outcomes.Ran, queued_id)

    def test_target_is_replaced_while_the_application_lives(self):
        self.call('e0')
        self.serve()
        self.world.start('t0')
        self.world.broadcast_stamps()
        # The entry that forwarded the answer still has a copy.
        self.assert_outcome(outcomes.Ran, self.call('e0'))
        self.assert_outcome(outcomes.MayHaveRun, self.call('e1'))
        self.assert_outcome(
            outcomes.Rejected, self.call('e0', fingerprint=b'other')
        )

    def test_all_entries_are_replaced_before_the_repeat(self):
        self.call('e0')
        for entry_id in self.world.entry_ids:
            self.world.start(entry_id)
        self.serve()
        self.assert_outcome(outcomes.Ran, self.call('e1'))

    def test_routing_changes_as_targets_leave_and_return(self):
        self.call('e0')
        self.serve()
        self.world.drain('t0', 't1')
        self.world.deliver_all()
        self.world.start('t0')
        self.world.broadcast_stamps()
        self.assert_outcome(outcomes.Ran, self.call('e1'))
        self.world.start('e1')
        self.world.broadcast_stamps()
        self.assert_outcome(outcomes.Ran, self.call('e1'))
        fresh = self.world.make_key('t0', suffix='fresh')
        self.assertNotEqual(self.key.incarnation, fresh.incarnation)
        attempt_id = self.call('e0', fresh)
        self.serve()
        self.assert_outcome(outcomes.Ran, attempt_id)

    def test_partitioned_entry_learns_of_the_heir_later(self):
        self.world.cuts.add(frozenset(('e1', 't0')))
        self.world.drain('t0', 't1')
        self.world.deliver_all()
        self.world.stop('t0')
        # One entry sends to the heir, the other to a target that has stopped.
        reachable_id = self.call('e0')
        cut_off_id = self.call('e1', timeout_s=1.0)
        self.serve('t1')
        self.assert_outcome(outcomes.Ran, reachable_id)
        self.world.advance(1.0)
        self.assert_outcome(outcomes.MayHaveRun, cut_off_id)
        self.world.broadcast_stamps()
        self.assert_outcome(outcomes.Ran, self.call('e1'))

    def test_same_key_at_two_entries_at_the_same_moment(self):
        attempt_ids = [
            self.world.call(entry_id, self.key) for entry_id in ('e0', 'e1')
        ]
        self.world.deliver_all()
        self.serve()
        self.serve()
        for attempt_id in attempt_ids:
            self.assert_outcome(outcomes.Ran, attempt_id)

    def test_same_key_with_another_body(self):
        first_id = self.call('e0')
        other_id = self.call('e1', fingerprint=b'other')
        self.assert_outcome(outcomes.Rejected, other_id)
        self.serve()
        self.assert_outcome(outcomes.Ran, first_id)

    def test_delayed_offer_arrives_after_the_refusal(self):
        first_id = self.world.call('e0', self.key, timeout_s=1.0)
        (delayed_offer,) = self.world.messages
        self.world.messages.clear()
        self.world.advance(1.1)
        self.world.deliver_all()
        self.assert_outcome(outcomes.MayHaveRun, first_id)
        refused_id = self.call('e1')
        self.assert_outcome(outcomes.NotRun, refused_id)
        self.world.messages.append(delayed_offer)
        self.world.deliver_all()
        self.serve()
        self.assertEqual({}, self.oracle.runs_by_key)
        self.pass_seal_hold()
        retried_id = self.call('e1')
        self.serve()
        self.assert_outcome(outcomes.Ran, retried_id)

    def test_planned_stop_answers_every_call(self):
        waiting_ids = [self.call('e0')]
        self.world.hand_over('t0')
        keys = [self.world.make_key('t0', suffix=f's{i}') for i in range(4)]
        waiting_ids.append(self.call('e1', keys[0]))
        self.world.drain('t0', 't1')
        parked_id = self.world.call('e0', keys[1])
        self.world.deliver(1)
        self.world.deliver_all()
        late_ids = [self.call('e1', keys[2]), self.call('e0')]
        self.serve()
        self.world.hand_over('t0')
        self.world.complete('t0')
        for _ in range(3):
            self.serve('t1')
        for attempt_id in (*waiting_ids, parked_id, *late_ids):
            self.assert_outcome(outcomes.Ran, attempt_id)
        target = self.world.processes_by_slot['t0']
        self.assertEqual(0, target.ledger.in_progress_count)
        self.world.stop('t0')
        repeat_id = self.call('e1', keys[0])
        self.assert_outcome(outcomes.Ran, repeat_id)
