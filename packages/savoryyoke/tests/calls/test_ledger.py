"""Test the rules of the ledger one by one."""

import dataclasses
import unittest

from savoryyoke.calls import conf
from savoryyoke.calls import exceptions
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import authority
from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import events
from savoryyoke.calls.ledger import rules
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes

LIMITS = conf.LedgerLimits(record_limit=4)
HOLD_MS = LIMITS.seal_hold_ms + rules.SEAL_MARGIN_MS
WINDOW_S = LIMITS.window_ms / 1000
ANSWER = outcomes.Answer(status=201, body=b'paid')
HEIR = snapshots.Heir(target_id='t2', incarnation=2)


def make_key(suffix='k', *, window=0, incarnation=1):
    """Return a key bound to the target ``t1``."""
    return keys.BoundKey(
        target_id='t1', incarnation=incarnation, window=window, suffix=suffix
    )


def make_offer(key, *, attempt_id='a1', stamp_ms=0, **changes):
    """Return the first message of an attempt."""
    offer = events.Offered(
        key=key,
        fingerprint=b'f',
        attempt_id=attempt_id,
        number=0,
        stamp_ms=stamp_ms,
        remaining_s=5.0,
    )
    return dataclasses.replace(offer, **changes)


def make_seal(key, *, attempt_id='a1', **changes):
    """Return the request of an attempt to seal its key."""
    seal = events.SealRequested(
        key=key, fingerprint=b'f', attempt_id=attempt_id, number=1
    )
    return dataclasses.replace(seal, **changes)


class LedgerCase(unittest.TestCase):
    """Provide a ledger that started at 0 s."""

    def setUp(self):
        super().setUp()
        self.ledger = self.make_ledger(LIMITS)
        self.key = make_key()

    def make_ledger(self, limits, *, target_id='t1', incarnation=1):
        return authority.Ledger(
            target_id=target_id,
            incarnation=incarnation,
            started_s=0.0,
            limits=limits,
        )

    def apply(self, event, *, now_s=0.0, ledger=None):
        return (ledger or self.ledger).apply(event, now_s=now_s)

    def run_call(self, key, *, now_s=0.0, answer=ANSWER):
        self.apply(make_offer(key), now_s=now_s)
        self.apply(events.HandOverRequested(key=key), now_s=now_s)
        self.apply(events.Completed(key=key, answer=answer), now_s=now_s)

    def outcome(self, event, *, now_s=0.0, ledger=None):
        decided = self.apply(event, now_s=now_s, ledger=ledger)
        answers = [d for d in decided if isinstance(d, decisions.Respond)]
        return answers[0].outcome

    def assert_admits(self, event, *, now_s=0.0, ledger=None):
        decided = self.apply(event, now_s=now_s, ledger=ledger)
        self.assertIsInstance(decided[0], decisions.Admit)


class SealTest(LedgerCase):
    """Check which attempts a refusal voids."""

    def test_seal_voids_stamps_until_its_hold_time_ends(self):
        refused = self.outcome(make_seal(self.key))
        self.assertEqual(outcomes.NotRunReason.SEALED, refused.reason)
        self.assertLessEqual(refused.holds_for_s * 1000, HOLD_MS)
        late = make_offer(self.key, stamp_ms=HOLD_MS + 1)
        self.assert_admits(late, now_s=9.0)

    def test_stamp_equal_to_the_seal_is_void(self):
        self.apply(make_seal(self.key))
        equal = make_offer(self.key, stamp_ms=HOLD_MS)
        refused = self.outcome(equal, now_s=9.0)
        self.assertEqual(outcomes.NotRunReason.SUPERSEDED, refused.reason)

    def test_folded_seal_still_voids_old_attempts(self):
        self.apply(make_seal(self.key))
        later_s = LIMITS.seal_fold_ms / 1000 + 5
        self.apply(events.Ticked(), now_s=later_s)
        self.assertEqual(0, self.ledger.record_count)
        refused = self.outcome(make_offer(self.key), now_s=later_s)
        self.assertEqual(outcomes.NotRunReason.SUPERSEDED, refused.reason)
        newer = make_key('n', window=2)
        self.assert_admits(make_offer(newer), now_s=later_s)

    def test_seal_of_the_last_attempt_abandons_a_queued_call(self):
        self.apply(make_offer(self.key))
        self.apply(make_offer(self.key, attempt_id='a2'))
        shared = self.outcome(make_seal(self.key))
        self.assertIsInstance(shared, outcomes.MayHaveRun)
        decided = self.apply(make_seal(self.key, attempt_id='a2'))
        self.assertEqual(decisions.Abandon(key=self.key), decided[0])
        self.assertEqual([1, 0], [decision.number for decision in decided[1:]])
        decided = self.apply(events.HandOverRequested(key=self.key))
        self.assertEqual((decisions.Abandon(key=self.key),), decided)

    def test_call_past_its_deadline_is_not_handed_over(self):
        self.apply(make_offer(self.key))
        request = events.HandOverRequested(key=self.key)
        decided = self.apply(request, now_s=5.0)
        self.assertNotIn(decisions.HandOver(key=self.key), decided)
        self.assertIsInstance(decided[1].outcome, outcomes.NotRun)


class RecordTest(LedgerCase):
    """Check the outcomes of calls that ended or lost their record."""

    def test_repeat_gets_the_answer_and_another_body_is_rejected(self):
        self.run_call(self.key)
        repeat = make_offer(self.key, attempt_id='a2')
        self.assertEqual(outcomes.Ran(answer=ANSWER), self.outcome(repeat))
        for event in (
            make_offer(self.key, fingerprint=b'other'),
            make_seal(self.key, fingerprint=b'other'),
        ):
            self.assertIsInstance(self.outcome(event), outcomes.Rejected)
        self.assertEqual(outcomes.Ran(answer=ANSWER), self.outcome(repeat))

    def test_other_body_leaves_a_queued_call_untouched(self):
        self.apply(make_offer(self.key))
        other = make_seal(self.key, fingerprint=b'other')
        self.assertIsInstance(self.outcome(other), outcomes.Rejected)
        decided = self.apply(events.HandOverRequested(key=self.key))
        self.assertEqual((decisions.HandOver(key=self.key),), decided)

    def test_record_dropped_for_age(self):
        self.run_call(self.key)
        closed_s = WINDOW_S * LIMITS.accept_windows
        unused = make_key('never')
        refused = self.outcome(make_offer(unused), now_s=closed_s)
        self.assertEqual(outcomes.NotRunReason.WINDOW_CLOSED, refused.reason)
        dropped_s = WINDOW_S * LIMITS.record_windows
        self.apply(events.Ticked(), now_s=dropped_s)
        self.assertEqual(0, self.ledger.record_count)
        for key in (self.key, unused):
            uncertain = self.outcome(make_offer(key), now_s=dropped_s)
            self.assertIsInstance(uncertain, outcomes.MayHaveRun)

    def test_record_dropped_for_memory(self):
        for i in range(LIMITS.record_limit):
            self.run_call(make_key(f'old{i}'))
        full = self.outcome(make_offer(self.key))
        self.assertEqual(outcomes.NotRunReason.LEDGER_FULL, full.reason)
        void = make_offer(self.key, stamp_ms=HOLD_MS)
        closed_s = WINDOW_S * LIMITS.accept_windows
        self.assertIsInstance(self.outcome(void), outcomes.NotRun)
        fresh = make_key('fresh', window=LIMITS.accept_windows)
        self.assert_admits(make_offer(fresh), now_s=closed_s)
        uncertain = self.outcome(make_offer(make_key('old0')), now_s=closed_s)
        self.assertIsInstance(uncertain, outcomes.MayHaveRun)

    def test_full_ledger_voids_attempts_that_arrived_before(self):
        limits = dataclasses.replace(LIMITS, record_limit=1)
        self.ledger = self.make_ledger(limits)
        self.run_call(make_key('old'))
        closed_s = WINDOW_S * LIMITS.accept_windows
        full_s = closed_s - 0.5
        key = make_key(window=LIMITS.accept_windows - 1)
        self.outcome(make_offer(key), now_s=full_s)
        # The old record can be dropped now, but the refusal remains valid.
        held_ms = int(full_s * 1000) + HOLD_MS
        void = make_offer(key, stamp_ms=held_ms)
        refused = self.outcome(void, now_s=closed_s)
        self.assertEqual(outcomes.NotRunReason.SUPERSEDED, refused.reason)

    def test_calls_in_progress_are_never_dropped(self):
        self.apply(make_offer(self.key))
        self.apply(events.HandOverRequested(key=self.key))
        self.apply(events.Ticked(), now_s=WINDOW_S * 1_000)
        decided = self.apply(events.Completed(key=self.key, answer=ANSWER))
        self.assertEqual(outcomes.Ran(answer=ANSWER), decided[0].outcome)

    def test_answers_beyond_the_limit_lose_their_body(self):
        limits = dataclasses.replace(
            LIMITS, answer_limit_bytes=8, answers_limit_bytes=8
        )
        self.ledger = self.make_ledger(limits)
        large = outcomes.Answer(status=200, body=b'x' * 9)
        answers_by_suffix = {'large': large, 'older': ANSWER, 'newer': ANSWER}
        for suffix, answer in answers_by_suffix.items():
            if suffix == 'newer':
                answer = dataclasses.replace(ANSWER, body=b'12345')
            self.run_call(make_key(suffix), answer=answer)
        outcome_types = [
            type(self.outcome(make_offer(make_key(suffix))))
            for suffix in answers_by_suffix
        ]
        without_answer = outcomes.RanWithoutAnswer
        self.assertEqual(
            [without_answer, without_answer, outcomes.Ran], outcome_types
        )
        self.assertEqual(5, self.ledger.answers_bytes)

    def test_attempts_per_key_are_bounded(self):
        for i in range(LIMITS.attempts_per_key_limit):
            self.apply(make_offer(self.key, attempt_id=f'a{i}'))
        extra = make_offer(self.key, attempt_id='extra')
        self.assertIsInstance(self.outcome(extra), outcomes.MayHaveRun)
        decided = self.apply(extra, now_s=6.0)
        self.assertEqual(LIMITS.attempts_per_key_limit, len(decided))

    def test_unexpected_keys_and_events_are_rejected(self):
        future = make_key(window=1)
        rejected = self.outcome(make_offer(future))
        self.assertIsInstance(rejected, outcomes.Rejected)
        with self.assertRaises(exceptions.UnexpectedEvent):
            self.apply(events.Completed(key=self.key, answer=ANSWER))


class HandoverTest(LedgerCase):
    """Check the handover of a ledger to an heir."""

    def setUp(self):
        super().setUp()
        self.heir = self.make_ledger(LIMITS, target_id='t2', incarnation=2)

    def export(self):
        decided = self.apply(events.DrainStarted(heir=HEIR))
        return decided[0].snapshot

    def hand_over(self):
        snapshot = self.export()
        decided = self.apply(
            events.SnapshotReceived(snapshot=snapshot), ledger=self.heir
        )
        self.assertIsInstance(decided[0], decisions.AcknowledgeImport)
        return self.apply(
            events.ImportAcknowledged(export_number=snapshot.export_number)
        )

    def test_heir_repeats_recorded_calls_and_runs_others(self):
        self.run_call(self.key)
        self.hand_over()
        offer = make_offer(self.key)
        decided = self.apply(offer)
        self.assertEqual(HEIR, decided[0].heir)
        ran = self.outcome(offer, ledger=self.heir)
        self.assertEqual(outcomes.Ran(answer=ANSWER), ran)
        self.assert_admits(make_offer(make_key('new')), ledger=self.heir)

    def test_no_stamp_is_sent_twice(self):
        # The first stamp of the heir is newer than the last of the process.
        self.export()
        (frozen,) = self.ledger.stamps(now_s=9.0)
        self.assertEqual(0, frozen.stamp_ms)
        self.apply(events.HeirLost(export_number=1))
        self.hand_over()
        self.assertEqual((), self.ledger.stamps(now_s=9.0))
        stamps = self.heir.stamps(now_s=0.0)
        self.assertEqual([2], [stamp.incarnation for stamp in stamps])
        confirmed = events.HeirConfirmed(source_incarnation=1, export_number=2)
        self.apply(confirmed, ledger=self.heir)
        self.assertEqual(1, self.heir.stamps(now_s=0.0)[1].stamp_ms)

    def test_call_in_progress_ends_at_the_heir_as_well(self):
        self.apply(make_offer(self.key))
        self.apply(events.HandOverRequested(key=self.key))
        self.hand_over()
        repeat = make_offer(self.key, attempt_id='a2')
        self.assertEqual((), self.apply(repeat, ledger=self.heir))
        decided = self.apply(events.Completed(key=self.key, answer=ANSWER))
        self.assertEqual('a1', decided[0].attempt_id)
        transferred = events.RecordTransferred(record=decided[1].record)
        decided = self.apply(transferred, ledger=self.heir)
        self.assertEqual('a2', decided[0].attempt_id)
        self.assertEqual(outcomes.Ran(answer=ANSWER), decided[0].outcome)
        self.assertEqual((), self.apply(transferred, ledger=self.heir))

    def test_lost_transfers_are_repeated(self):
        self.apply(make_offer(self.key))
        self.hand_over()
        reconnected = events.HeirReconnected()
        self.assertEqual((), self.apply(reconnected))
        decided = self.apply(events.Refused(key=self.key, retry_after_s=0.0))
        self.assertEqual(decided[1:], self.apply(reconnected))

    def test_calls_of_a_lost_predecessor_may_have_run(self):
        self.apply(make_offer(self.key))
        self.hand_over()
        self.apply(make_offer(self.key), ledger=self.heir)
        lost = events.PredecessorLost(incarnation=1)
        decided = self.apply(lost, ledger=self.heir)
        self.assertIsInstance(decided[0].outcome, outcomes.MayHaveRun)
        again = self.outcome(make_offer(self.key), ledger=self.heir)
        self.assertIsInstance(again, outcomes.MayHaveRun)

    def test_handover_is_final(self):
        self.hand_over()
        self.assertEqual((), self.apply(events.HeirLost(export_number=1)))
        decided = self.apply(make_offer(self.key))
        self.assertIsInstance(decided[0], decisions.Redirect)
        decided = self.apply(events.DrainStarted(heir=HEIR))
        self.assertEqual((), decided)

    def test_cancelled_export_cannot_be_acknowledged_later(self):
        self.export()
        offer = make_offer(self.key)
        self.assertEqual((), self.apply(offer))
        decided = self.apply(events.HeirLost(export_number=1))
        self.assertIsInstance(decided[0], decisions.Admit)
        late = events.ImportAcknowledged(export_number=1)
        self.assertEqual((), self.apply(late))

    def test_late_snapshot_does_not_reach_a_restarted_heir(self):
        snapshot = self.export()
        restarted = self.make_ledger(LIMITS, target_id='t2', incarnation=3)
        decided = self.apply(
            events.SnapshotReceived(snapshot=snapshot), ledger=restarted
        )
        self.assertIsInstance(decided[0], decisions.RefuseImport)

    def test_late_snapshot_does_not_undo_runs_at_the_heir(self):
        stale = self.export()
        self.apply(events.HeirLost(export_number=1))
        self.hand_over()
        self.apply(make_offer(self.key), ledger=self.heir)
        decided = self.apply(
            events.SnapshotReceived(snapshot=stale), ledger=self.heir
        )
        self.assertIsInstance(decided[0], decisions.RefuseImport)
        self.assertEqual(1, self.heir.in_progress_count)

    def test_chain_of_heirs(self):
        self.run_call(self.key)
        self.hand_over()
        third = self.make_ledger(LIMITS, target_id='t3', incarnation=3)
        to_third = snapshots.Heir(target_id='t3', incarnation=3)
        drain = events.DrainStarted(heir=to_third)
        (export,) = self.apply(drain, ledger=self.heir)
        inherited = events.SnapshotReceived(snapshot=export.snapshot)
        self.apply(inherited, ledger=third)
        acknowledged = events.ImportAcknowledged(export_number=1)
        self.apply(acknowledged, ledger=self.heir)
        offer = make_offer(self.key)
        (redirect,) = self.apply(offer, ledger=self.heir)
        self.assertEqual(to_third, redirect.heir)
        ran = self.outcome(offer, ledger=third)
        self.assertEqual(outcomes.Ran(answer=ANSWER), ran)
