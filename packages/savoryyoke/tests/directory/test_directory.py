"""Test which entries callers are sent to."""

import collections
import unittest

from savoryyoke.directory import decisions
from savoryyoke.directory import directory
from savoryyoke.directory import events
from savoryyoke.routing import decisions as routing_decisions

DATA_CENTRES = ('north', 'south', 'west')
CALLERS = [
    decisions.Caller(identity=f'team-{number}') for number in range(3000)
]


def apply_message(entry_directory, number, *, now_s, load=0.0, stamp_s=None):
    """Apply a message of an entry; return the decisions."""
    message = events.EntryMessageReceived(
        entry_id=f'entry-{number}',
        incarnation=1,
        stamp_s=now_s + 50.0 if stamp_s is None else stamp_s,
        load=load,
    )
    return entry_directory.apply(message, now_s=now_s)


def apply_seen(entry_directory, number, *, now_s):
    """Apply the event that adds an entry."""
    seen = events.EntrySeen(
        entry_id=f'entry-{number}',
        incarnation=1,
        data_centre=DATA_CENTRES[number % 3],
        address=f'10.0.1.{number}:8000',
    )
    return entry_directory.apply(seen, now_s=now_s)


def apply_all_messages(
    entry_directory, *, now_s, numbers=range(1, 9), targets=12
):
    """Apply a tick, messages of entries and the targets in contact."""
    entry_directory.apply(events.Ticked(), now_s=now_s)
    for number in numbers:
        apply_message(entry_directory, number, now_s=now_s)
    contacts = events.TargetContactsReported(
        in_contact_count=targets, expected_count=12
    )
    entry_directory.apply(contacts, now_s=now_s)


def make_directory(*, entries=9):
    """Return the directory of entry 0, in contact with all others."""
    entry_directory = directory.Directory(
        entry_id='entry-0', data_centre='north'
    )
    for number in range(entries):
        apply_seen(entry_directory, number, now_s=0.0)
    apply_all_messages(entry_directory, now_s=0.0, numbers=range(1, entries))
    return entry_directory


def map_callers(entry_directory, *, now_s=0.0):
    """Return each caller's preferred entry."""
    return {
        caller.identity: entry_directory.answer(caller, now_s)
        .entries[0]
        .entry_id
        for caller in CALLERS
    }


def find_moves(before, after):
    """Return pairs of entries, where callers moved from and to."""
    return {
        (before[identity], after[identity])
        for identity in before
        if before[identity] != after[identity]
    }


class SpreadTest(unittest.TestCase):
    """Check the spread of callers and how many a change moves."""

    def test_callers_spread_and_move_only_from_a_leaving_entry(self):
        """Limit shares; move only the callers of the leaving entry."""
        entry_directory = make_directory()
        before = map_callers(entry_directory)
        counts = collections.Counter(before.values())
        self.assertEqual(9, len(counts))
        self.assertLess(max(counts.values()), 1.3 * len(CALLERS) / 9)
        self.assertGreater(min(counts.values()), 0.7 * len(CALLERS) / 9)
        entry_directory.apply(
            events.EntryLeaving(entry_id='entry-4', incarnation=1), now_s=0.0
        )
        after = map_callers(entry_directory)
        moved = find_moves(before, after)
        self.assertEqual({'entry-4'}, {source for source, _ in moved})
        self.assertEqual(8, len({destination for _, destination in moved}))

    def test_load_moves_callers_away_from_the_loaded_entry_only(self):
        """Halve the callers of a loaded entry; restore with hysteresis."""
        entry_directory = make_directory()
        before = map_callers(entry_directory)
        apply_message(entry_directory, 5, now_s=0.1, load=0.75)
        loaded = map_callers(entry_directory, now_s=0.1)
        sources = {source for source, _ in find_moves(before, loaded)}
        self.assertEqual({'entry-5'}, sources)
        loaded_count = collections.Counter(loaded.values())['entry-5']
        previous_count = collections.Counter(before.values())['entry-5']
        self.assertTrue(
            0.4 * previous_count < loaded_count < 0.7 * previous_count,
            (loaded_count, previous_count),
        )
        apply_message(entry_directory, 5, now_s=0.2, load=0.68)
        self.assertEqual(loaded, map_callers(entry_directory, now_s=0.2))
        apply_message(entry_directory, 5, now_s=0.3, load=0.5)
        self.assertEqual(before, map_callers(entry_directory, now_s=0.3))

    def test_near_entries_come_first_unless_overloaded(self):
        """Prefer the caller's data centre unless it is overloaded."""
        entry_directory = make_directory()
        caller = decisions.Caller(identity='team', data_centre='south')
        answer = entry_directory.answer(caller, 0.0)
        self.assertEqual(
            ['south'] * 3, [entry.data_centre for entry in answer.entries]
        )
        for number in (1, 4, 7):
            apply_message(entry_directory, number, now_s=0.1, load=0.99)
        answer = entry_directory.answer(caller, 0.1)
        self.assertNotIn(
            'south', [entry.data_centre for entry in answer.entries]
        )

    def test_answer_lifetime_is_limited_by_its_bindings(self):
        """Return the bindings and use the shortest lifetime."""
        entry_directory = make_directory()
        binding = routing_decisions.Binding(
            target_id='target-1',
            incarnation=1,
            address='10.0.0.1:7000',
            lifetime_s=0.5,
        )
        bindings = {'payments': (binding,)}
        answer = entry_directory.answer(
            CALLERS[0], 0.0, bindings_by_service=bindings
        )
        self.assertEqual(bindings, answer.bindings_by_service)
        self.assertEqual(0.5, answer.lifetime_s)
        self.assertGreater(
            entry_directory.answer(CALLERS[0], 0.0).lifetime_s, 0.5
        )


class LeavingTest(unittest.TestCase):
    """Check that leaving entries are not in any answer."""

    def list_entry_ids(self, entry_directory, *, now_s):
        """Return the ids of all entries in the answers to callers."""
        return {
            entry.entry_id
            for caller in CALLERS[:300]
            for entry in entry_directory.answer(caller, now_s).entries
        }

    def assert_omits(self, entry_directory, numbers, *, now_s):
        """Check that answers have all entries except these."""
        expected_ids = {f'entry-{number}' for number in range(9)} - {
            f'entry-{number}' for number in numbers
        }
        self.assertEqual(
            expected_ids, self.list_entry_ids(entry_directory, now_s=now_s)
        )

    def test_late_events_do_not_bring_an_entry_back(self):
        """Ignore late events of leaving or excluded entries."""
        leaving = events.EntryLeaving(entry_id='entry-4', incarnation=1)
        gone = events.EntryGone(entry_id='entry-4', incarnation=1)
        out = events.DataCentreOut(data_centre='south')
        for changes, numbers in (
            ((leaving,), {4}),
            ((leaving, gone), {4}),
            ((out,), {1, 4, 7}),
        ):
            with self.subTest(changes=changes):
                entry_directory = make_directory()
                self.assert_omits(entry_directory, (), now_s=0.1)
                for change in changes:
                    entry_directory.apply(change, now_s=0.1)
                    self.assert_omits(entry_directory, numbers, now_s=0.1)
                    for number in numbers:
                        apply_seen(entry_directory, number, now_s=0.2)
                        apply_message(entry_directory, number, now_s=0.2)
                    self.assert_omits(entry_directory, numbers, now_s=0.2)

    def test_gone_entry_returns_after_its_next_message(self):
        """Return a removed entry only after a message of its own."""
        entry_directory = make_directory()
        self.assert_omits(entry_directory, (), now_s=0.1)
        entry_directory.apply(
            events.EntryGone(entry_id='entry-4', incarnation=1), now_s=0.1
        )
        self.assert_omits(entry_directory, {4}, now_s=0.1)
        (rejected,) = entry_directory.apply(
            events.EntrySeen(
                entry_id='entry-4',
                incarnation=0,
                data_centre='south',
                address='',
            ),
            now_s=0.1,
        )
        self.assertEqual(
            decisions.RejectionReason.OLD_INCARNATION, rejected.reason
        )
        apply_seen(entry_directory, 4, now_s=0.2)
        self.assert_omits(entry_directory, {4}, now_s=0.2)
        apply_message(entry_directory, 4, now_s=0.3)
        self.assert_omits(entry_directory, (), now_s=0.3)

    def test_drain_outlasts_every_answer(self):
        """Complete after the last answer with the entry has expired."""
        entry_directory = make_directory()
        latest_s = 0.0
        for step in range(4):
            now_s = step / 2
            apply_all_messages(entry_directory, now_s=now_s)
            answer = entry_directory.answer(CALLERS[step], now_s)
            latest_s = max(latest_s, now_s + answer.lifetime_s)
        (planned,) = entry_directory.apply(events.DrainStarted(), now_s=1.5)
        # Other entries may return this one for another second.
        self.assertGreaterEqual(
            planned.drain_complete_at_s, 1.5 + 1.0 + answer.lifetime_s
        )
        self.assertGreater(planned.drain_complete_at_s, latest_s)
        self.assertLessEqual(planned.drain_complete_at_s, 1.5 + 5.0)
        self.assertNotIn(
            'entry-0', self.list_entry_ids(entry_directory, now_s=1.6)
        )

    def test_bad_messages_are_rejected(self):
        """Return the reason and keep the weight of the last valid one."""
        reasons = decisions.RejectionReason
        entry_directory = make_directory()
        before = map_callers(entry_directory)
        cases = [
            ({'load': float('nan')}, reasons.ABSURD_VALUE),
            ({'load': -1.0}, reasons.ABSURD_VALUE),
            ({'load': 0.9, 'stamp_s': 49.0}, reasons.OUT_OF_ORDER),
        ]
        for changes, reason in cases:
            with self.subTest(changes=changes):
                (rejected,) = apply_message(
                    entry_directory, 3, now_s=0.1, **changes
                )
                self.assertEqual(reason, rejected.reason)
        self.assertEqual(before, map_callers(entry_directory))


class CutOffTest(unittest.TestCase):
    """Check that an entry without contact sends callers elsewhere."""

    def assert_cut_off(self, entry_directory, reason, *, now_s):
        """Check the reason and the alternatives in other data centres."""
        answer = entry_directory.answer(CALLERS[0], now_s)
        self.assertIsInstance(answer, decisions.CutOff)
        self.assertEqual(reason, answer.reason)
        self.assertNotIn(
            'north', {entry.data_centre for entry in answer.alternatives}
        )
        self.assertEqual(3, len(answer.alternatives))

    def test_lost_contact_with_the_fleet_cuts_off(self):
        """Cut off with messages of few entries and few targets."""
        entry_directory = make_directory()
        apply_all_messages(entry_directory, now_s=1.0)
        for step in range(2, 9):
            apply_all_messages(
                entry_directory, now_s=step / 1.0, numbers=(3,), targets=1
            )
        reason = decisions.CutOffReason.ISOLATED
        self.assert_cut_off(entry_directory, reason, now_s=8.0)

    def test_one_data_centre_alone_keeps_serving(self):
        """Serve with a third of the fleet; return entries in contact only."""
        entry_directory = make_directory()
        for step in range(1, 9):
            apply_all_messages(
                entry_directory, now_s=step / 1.0, numbers=(3, 6), targets=4
            )
        answer = entry_directory.answer(CALLERS[0], 8.0)
        self.assertEqual(
            {'entry-0', 'entry-3', 'entry-6'},
            {entry.entry_id for entry in answer.entries},
        )

    def test_no_target_in_contact_cuts_off(self):
        """Send callers elsewhere without any target."""
        entry_directory = make_directory()
        apply_all_messages(entry_directory, now_s=0.5, targets=0)
        reason = decisions.CutOffReason.NO_TARGETS
        self.assert_cut_off(entry_directory, reason, now_s=0.5)

    def test_paused_process_waits_for_fresh_messages(self):
        """Ignore messages sent before a pause, even if read after it."""
        entry_directory = make_directory()
        apply_all_messages(entry_directory, now_s=0.5)
        reason = decisions.CutOffReason.PAUSED
        unticked = directory.Directory(entry_id='entry-0', data_centre='north')
        self.assertEqual(reason, unticked.answer(CALLERS[0], 0.0).reason)
        # First before the first tick after the pause, then after it.
        self.assert_cut_off(entry_directory, reason, now_s=60.0)
        (changed,) = entry_directory.apply(events.Ticked(), now_s=60.0)
        self.assertEqual(reason, changed.reason)
        contacts = events.TargetContactsReported(
            in_contact_count=1, expected_count=12
        )
        entry_directory.apply(contacts, now_s=60.1)
        for number in range(1, 9):
            apply_message(entry_directory, number, now_s=60.1, stamp_s=51.0)
        isolated = decisions.CutOffReason.ISOLATED
        self.assert_cut_off(entry_directory, isolated, now_s=60.1)
        for number in range(1, 9):
            apply_message(entry_directory, number, now_s=60.2, stamp_s=110.1)
        self.assertIsInstance(
            entry_directory.answer(CALLERS[0], 60.2), decisions.Answer
        )
