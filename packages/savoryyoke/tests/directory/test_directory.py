"""Test the entries that callers are sent to."""

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


def hear(known, number, *, now_s, load=0.0, stamp_s=None):
    """Apply a message of an entry; return the decisions."""
    heard = events.EntryHeard(
        entry_id=f'entry-{number}',
        incarnation=1,
        stamp_s=now_s + 50.0 if stamp_s is None else stamp_s,
        load=load,
    )
    return known.apply(heard, now_s=now_s)


def see(known, number, *, now_s):
    """Show an entry."""
    seen = events.EntrySeen(
        entry_id=f'entry-{number}',
        incarnation=1,
        data_centre=DATA_CENTRES[number % 3],
        address=f'10.0.1.{number}:8000',
    )
    return known.apply(seen, now_s=now_s)


def hear_all(known, *, now_s, numbers=range(1, 9), targets=12):
    """Tick, and apply messages of other entries and of the targets."""
    known.apply(events.Ticked(), now_s=now_s)
    for number in numbers:
        hear(known, number, now_s=now_s)
    heard = events.TargetsHeard(heard=targets, expected=12)
    known.apply(heard, now_s=now_s)


def make_directory(*, entries=9):
    """Return the directory of entry 0 that has heard all others."""
    known = directory.Directory(entry_id='entry-0', data_centre='north')
    for number in range(entries):
        see(known, number, now_s=0.0)
    hear_all(known, now_s=0.0, numbers=range(1, entries))
    return known


def map_callers(known, *, now_s=0.0):
    """Return each caller's preferred entry."""
    return {
        caller.identity: known.answer(caller, now_s).entries[0].entry_id
        for caller in CALLERS
    }


def find_moved(before, after):
    """Return the pairs of entries between which callers moved."""
    return {
        (before[identity], after[identity])
        for identity in before
        if before[identity] != after[identity]
    }


class SpreadTest(unittest.TestCase):
    """Check the spread of callers and how many a change moves."""

    def test_callers_spread_and_only_those_of_a_leaver_move(self):
        """Bound shares; move callers only away from the leaver."""
        known = make_directory()
        before = map_callers(known)
        counts = collections.Counter(before.values())
        self.assertEqual(9, len(counts))
        self.assertLess(max(counts.values()), 1.3 * len(CALLERS) / 9)
        self.assertGreater(min(counts.values()), 0.7 * len(CALLERS) / 9)
        known.apply(
            events.EntryLeaving(entry_id='entry-4', incarnation=1), now_s=0.0
        )
        after = map_callers(known)
        moved = find_moved(before, after)
        self.assertEqual({'entry-4'}, {source for source, _ in moved})
        self.assertEqual(8, len({goal for _, goal in moved}))

    def test_load_moves_callers_away_from_the_loaded_entry_only(self):
        """Halve the callers of a loaded entry, without flapping back."""
        known = make_directory()
        before = map_callers(known)
        hear(known, 5, now_s=0.1, load=0.75)
        loaded = map_callers(known, now_s=0.1)
        sources = {source for source, _ in find_moved(before, loaded)}
        self.assertEqual({'entry-5'}, sources)
        kept = collections.Counter(loaded.values())['entry-5']
        usual = collections.Counter(before.values())['entry-5']
        self.assertTrue(0.4 * usual < kept < 0.7 * usual, (kept, usual))
        hear(known, 5, now_s=0.2, load=0.68)
        self.assertEqual(loaded, map_callers(known, now_s=0.2))
        hear(known, 5, now_s=0.3, load=0.5)
        self.assertEqual(before, map_callers(known, now_s=0.3))

    def test_near_entries_come_first_unless_overloaded(self):
        """Prefer the caller's data centre while it bears more work."""
        known = make_directory()
        caller = decisions.Caller(identity='team', data_centre='south')
        answer = known.answer(caller, 0.0)
        self.assertEqual(
            ['south'] * 3, [entry.data_centre for entry in answer.entries]
        )
        for number in (1, 4, 7):
            hear(known, number, now_s=0.1, load=0.99)
        answer = known.answer(caller, 0.1)
        self.assertNotIn(
            'south', [entry.data_centre for entry in answer.entries]
        )

    def test_answer_lives_no_longer_than_its_bindings(self):
        """Carry the bindings and take the shortest lifetime."""
        known = make_directory()
        binding = routing_decisions.Binding(
            target_id='target-1',
            incarnation=1,
            address='10.0.0.1:7000',
            lifetime_s=0.5,
        )
        bindings = {'payments': (binding,)}
        answer = known.answer(CALLERS[0], 0.0, bindings_by_service=bindings)
        self.assertEqual(bindings, answer.bindings_by_service)
        self.assertEqual(0.5, answer.lifetime_s)
        self.assertGreater(known.answer(CALLERS[0], 0.0).lifetime_s, 0.5)


class LeavingTest(unittest.TestCase):
    """Check that leaving entries are named to nobody."""

    def list_named(self, known, *, now_s):
        """Return all entries that callers are told of."""
        return {
            entry.entry_id
            for caller in CALLERS[:300]
            for entry in known.answer(caller, now_s).entries
        }

    def assert_left_out(self, known, numbers, *, now_s):
        """Check that all entries are named but these."""
        left = {f'entry-{number}' for number in range(9)} - {
            f'entry-{number}' for number in numbers
        }
        self.assertEqual(left, self.list_named(known, now_s=now_s))

    def test_late_events_do_not_bring_an_entry_back(self):
        """Ignore sightings and messages after leaving or out."""
        leaving = events.EntryLeaving(entry_id='entry-4', incarnation=1)
        gone = events.EntryGone(entry_id='entry-4', incarnation=1)
        out = events.DataCentreOut(data_centre='south')
        for changes, numbers in (
            ((leaving,), {4}),
            ((leaving, gone), {4}),
            ((out,), {1, 4, 7}),
        ):
            with self.subTest(changes=changes):
                known = make_directory()
                self.assert_left_out(known, (), now_s=0.1)
                for change in changes:
                    known.apply(change, now_s=0.1)
                    self.assert_left_out(known, numbers, now_s=0.1)
                    for number in numbers:
                        see(known, number, now_s=0.2)
                        hear(known, number, now_s=0.2)
                    self.assert_left_out(known, numbers, now_s=0.2)

    def test_gone_entry_is_named_once_it_is_heard_again(self):
        """Ignore sightings alone; trust what a cut-off entry says itself."""
        known = make_directory()
        self.assert_left_out(known, (), now_s=0.1)
        known.apply(
            events.EntryGone(entry_id='entry-4', incarnation=1), now_s=0.1
        )
        self.assert_left_out(known, {4}, now_s=0.1)
        (rejected,) = known.apply(
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
        see(known, 4, now_s=0.2)
        self.assert_left_out(known, {4}, now_s=0.2)
        hear(known, 4, now_s=0.3)
        self.assert_left_out(known, (), now_s=0.3)

    def test_drain_outlasts_every_answer(self):
        """Complete after the last answer that names the entry expires."""
        known = make_directory()
        latest_s = 0.0
        for step in range(4):
            now_s = step / 2
            hear_all(known, now_s=now_s)
            answer = known.answer(CALLERS[step], now_s)
            latest_s = max(latest_s, now_s + answer.lifetime_s)
        (planned,) = known.apply(events.DrainStarted(), now_s=1.5)
        # Other entries may name this one until they know, a second later.
        self.assertGreaterEqual(
            planned.drain_complete_at_s, 1.5 + 1.0 + answer.lifetime_s
        )
        self.assertGreater(planned.drain_complete_at_s, latest_s)
        self.assertLessEqual(planned.drain_complete_at_s, 1.5 + 5.0)
        self.assertNotIn('entry-0', self.list_named(known, now_s=1.6))

    def test_bad_messages_are_rejected(self):
        """Name the reason and keep the weight of the last good one."""
        reasons = decisions.RejectionReason
        known = make_directory()
        before = map_callers(known)
        cases = [
            ({'load': float('nan')}, reasons.ABSURD_VALUE),
            ({'load': -1.0}, reasons.ABSURD_VALUE),
            ({'load': 0.9, 'stamp_s': 49.0}, reasons.OUT_OF_ORDER),
        ]
        for changes, reason in cases:
            with self.subTest(changes=changes):
                (rejected,) = hear(known, 3, now_s=0.1, **changes)
                self.assertEqual(reason, rejected.reason)
        self.assertEqual(before, map_callers(known))


class CutOffTest(unittest.TestCase):
    """Check that an entry that hears nobody sends nobody into a hole."""

    def assert_cut_off(self, known, reason, *, now_s):
        """Check the reason and that others are named instead."""
        answer = known.answer(CALLERS[0], now_s)
        self.assertIsInstance(answer, decisions.CutOff)
        self.assertEqual(reason, answer.reason)
        self.assertNotIn(
            'north', {entry.data_centre for entry in answer.alternatives}
        )
        self.assertEqual(3, len(answer.alternatives))

    def test_silence_of_the_fleet_cuts_off(self):
        """Suspect oneself when few entries and few targets are heard."""
        known = make_directory()
        hear_all(known, now_s=1.0)
        for step in range(2, 9):
            hear_all(known, now_s=step / 1.0, numbers=(3,), targets=1)
        reason = decisions.CutOffReason.ISOLATED
        self.assert_cut_off(known, reason, now_s=8.0)

    def test_one_data_centre_alone_keeps_serving(self):
        """Serve with the near third, and name only entries heard."""
        known = make_directory()
        for step in range(1, 9):
            hear_all(known, now_s=step / 1.0, numbers=(3, 6), targets=4)
        answer = known.answer(CALLERS[0], 8.0)
        self.assertEqual(
            {'entry-0', 'entry-3', 'entry-6'},
            {entry.entry_id for entry in answer.entries},
        )

    def test_no_target_heard_cuts_off(self):
        """Send callers elsewhere without any target."""
        known = make_directory()
        hear_all(known, now_s=0.5, targets=0)
        reason = decisions.CutOffReason.NO_TARGETS
        self.assert_cut_off(known, reason, now_s=0.5)

    def test_paused_process_waits_for_fresh_messages(self):
        """Distrust messages of before a pause, also when read after it."""
        known = make_directory()
        hear_all(known, now_s=0.5)
        reason = decisions.CutOffReason.PAUSED
        unticked = directory.Directory(entry_id='entry-0', data_centre='north')
        self.assertEqual(reason, unticked.answer(CALLERS[0], 0.0).reason)
        # Asked before the first tick after the pause, then after it.
        self.assert_cut_off(known, reason, now_s=60.0)
        (changed,) = known.apply(events.Ticked(), now_s=60.0)
        self.assertEqual(reason, changed.reason)
        targets = events.TargetsHeard(heard=1, expected=12)
        known.apply(targets, now_s=60.1)
        for number in range(1, 9):
            hear(known, number, now_s=60.1, stamp_s=51.0)
        isolated = decisions.CutOffReason.ISOLATED
        self.assert_cut_off(known, isolated, now_s=60.1)
        for number in range(1, 9):
            hear(known, number, now_s=60.2, stamp_s=110.1)
        self.assertIsInstance(known.answer(CALLERS[0], 60.2), decisions.Answer)
