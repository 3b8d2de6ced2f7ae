"""Test which entries collect heartbeats and what their failures cost."""

import functools
import unittest

from savoryyoke.peers import batches
from savoryyoke.peers import conf
from savoryyoke.peers import pacing
from savoryyoke.peers import table
from tests.peers import batch_fleet

SETTLE_S = 3.0
LARGE_FLEETS = (32, 64)


class TurnsTests(unittest.TestCase):
    def test_newest_number_is_adopted(self):
        turns = batches.Turns()
        turns.observe(7, now_s=0.0)
        turns.observe(5, now_s=0.1)
        self.assertEqual(7, turns.current(now_s=0.2))
        self.assertEqual(8, turns.current(now_s=conf.COLLECTOR_TURN_S))

    def test_numbers_wrap_around(self):
        """Guard against an entry that no other can catch up with."""
        turns = batches.Turns()
        turns.observe(conf.TURNS // 2 - 1, now_s=0.0)
        turns.observe(conf.TURNS - 2, now_s=0.0)
        turns.current(now_s=0.0)
        turns.observe(1, now_s=0.1)
        self.assertEqual(1, turns.current(now_s=0.1))


class CollectorsTests(unittest.TestCase):
    def test_every_host_has_its_turn(self):
        for count in range(1, 65):
            pairs = [
                batches.choose_collectors(range(count), turn)
                for turn in range(count)
            ]
            for rank in range(min(count, 2)):
                self.assertEqual(
                    set(range(count)), {pair[rank] for pair in pairs}
                )

    def test_collectors_differ(self):
        for count in range(2, 65):
            for turn in range(count):
                first, second = batches.choose_collectors(range(count), turn)
                self.assertNotEqual(first, second)

    def test_neighbours_do_not_collect_one_after_the_other(self):
        """Guard against a rack whose end silences several turns in a row."""
        for count in range(11, 65):
            firsts = [
                batches.choose_collectors(range(count), turn)[0]
                for turn in range(count + 1)
            ]
            for first, following in zip(firsts, firsts[1:], strict=False):
                distance = (following - first) % count
                self.assertGreaterEqual(distance, 3)
                self.assertLessEqual(distance, count - 3)

    def test_single_host_has_no_second(self):
        self.assertEqual(['a'], batches.choose_collectors('a', 5))


class CollectionTests(unittest.TestCase):
    def setUp(self):
        self.collection = batches.Collection()

    def add(self, host, *, due_s, sequence=1):
        heartbeat = batch_fleet.build_heartbeat(host, 'a', sequence=sequence)
        return self.collection.add(heartbeat, host, due_s=due_s)

    def test_heartbeats_of_a_window_are_sent_together(self):
        self.add('h1', due_s=1.0)
        self.add('h2', due_s=1.02)
        self.add('h3', due_s=1.2)
        self.assertEqual([], self.collection.take(now_s=0.9, ahead_s=0.1))
        self.assertEqual(1.0, self.collection.due_s)
        self.assertEqual(
            ['h1', 'h2'], self.collection.take(now_s=1.0, ahead_s=0.05)
        )
        self.assertEqual(1.2, self.collection.due_s)

    def test_heartbeat_of_the_other_collector_is_not_sent(self):
        self.add('h1', due_s=1.0)
        self.collection.discard(batch_fleet.build_heartbeat('h1', 'a'))
        self.assertEqual([], self.collection.take(now_s=1.0))
        self.assertIsNone(self.collection.due_s)

    def test_number_of_heartbeats_is_bounded(self):
        for number in range(conf.COLLECTED_LIMIT):
            self.assertTrue(self.add('h1', due_s=1.0, sequence=number))
        self.assertFalse(self.add('h2', due_s=1.0))
        self.assertEqual(
            conf.COLLECTED_LIMIT, len(self.collection.take(now_s=1.0))
        )
        self.assertTrue(self.add('h2', due_s=2.0))


class RecipientsTests(unittest.TestCase):
    def choose(self, peers):
        peer_table = table.PeerTable(
            own_id='a0', own_host='a0', seed_hosts=['x9']
        )
        for peer in peers:
            peer_table.receive(peer, now_s=0.0)
        batching = batches.Batching(
            own_host='a0', own_data_centre='a', table=peer_table
        )
        return batching.choose_recipients(
            peer_table.contact_hosts(now_s=0.0), sequence=1, now_s=0.0
        )

    def build_peers(self, data_centre, count, **changes):
        return [
            batch_fleet.build_heartbeat(
                f'{data_centre}{number}', data_centre, **changes
            )
            for number in range(1, count + 1)
        ]

    def test_collectors_of_all_data_centres(self):
        recipients = self.choose(
            self.build_peers('a', 4) + self.build_peers('b', 3)
        )
        # This entry is the first collector itself.
        self.assertEqual(('a2', 'b1'), recipients.collector_hosts)
        self.assertTrue(recipients.is_collector)
        self.assertEqual(('x9',), recipients.direct_hosts)

    def test_few_peers_of_the_own_data_centre_get_it_directly(self):
        recipients = self.choose(self.build_peers('a', 2))
        self.assertEqual(('a1', 'a2', 'x9'), recipients.direct_hosts)
        self.assertEqual((), recipients.collector_hosts)

    def test_old_builds_get_it_directly_or_through_a_relay(self):
        recipients = self.choose(
            self.build_peers('a', 2, can_batch=False)
            + self.build_peers('b', 3, can_batch=False)
        )
        self.assertEqual(('a1', 'a2', 'b2', 'x9'), recipients.direct_hosts)
        self.assertEqual((), recipients.collector_hosts)


@functools.cache
def run_settled_fleet(*, entries, is_old=False):
    """Run a fleet; return datagrams per entry and second, and the mean age."""
    fleet = batch_fleet.Fleet(
        entries=entries, old=range(entries) if is_old else ()
    )
    fleet.run(SETTLE_S)
    fleet.datagrams = 0
    age_s = fleet.mean_age_s()
    datagrams_per_s = fleet.datagrams / entries / 2.0
    return fleet, datagrams_per_s, age_s


class FleetTests(unittest.TestCase):
    def assert_settled(self, fleet):
        self.assertEqual([], fleet.unknown_pairs())
        self.assertEqual([], fleet.lost_pairs())

    def test_all_entries_know_each_other(self):
        for entries in (4, 16, *LARGE_FLEETS):
            with self.subTest(entries=entries):
                self.assert_settled(run_settled_fleet(entries=entries)[0])

    def test_small_fleets_send_as_before(self):
        for entries in (4, 16):
            with self.subTest(entries=entries):
                self.assertEqual(
                    run_settled_fleet(entries=entries, is_old=True)[1:],
                    run_settled_fleet(entries=entries)[1:],
                )

    def test_datagrams_do_not_grow_with_the_fleet(self):
        _, smallest_per_s, _ = run_settled_fleet(entries=17)
        for entries in LARGE_FLEETS:
            with self.subTest(entries=entries):
                _, per_s, _ = run_settled_fleet(entries=entries)
                _, old_per_s, _ = run_settled_fleet(
                    entries=entries, is_old=True
                )
                self.assertLess(per_s, smallest_per_s)
                self.assertLess(per_s, old_per_s / 2)

    def test_reports_are_no_older_than_without_batches(self):
        for entries in (17, 24, *LARGE_FLEETS):
            with self.subTest(entries=entries):
                _, _, age_s = run_settled_fleet(entries=entries)
                _, _, old_age_s = run_settled_fleet(
                    entries=entries, is_old=True
                )
                self.assertLessEqual(age_s, old_age_s)

    def test_entries_that_stop_hide_no_others(self):
        """Guard against collectors whose end costs peers that are alive.

        They stop at the same moment, with addresses that follow each other
        or not.
        """
        for entries in LARGE_FLEETS:
            ranked = sorted(f'h{3 * number}' for number in range(entries // 3))
            for down in (
                ranked[:1],
                ranked[2:4],
                ranked[5:9],
                ranked[::3],
            ):
                with self.subTest(entries=entries, down=down):
                    fleet = batch_fleet.Fleet(entries=entries)
                    fleet.run(SETTLE_S)
                    fleet.down = set(down)
                    fleet.run(8.0)
                    self.assert_settled(fleet)

    def test_second_collector_replaces_the_first_one(self):
        """Guard against heartbeats that a stopped collector takes along.

        A third of a data centre stops, but never both collectors of a turn.
        Those that stay miss no heartbeat of each other.
        """
        fleet = batch_fleet.Fleet(entries=63)
        fleet.run(SETTLE_S)
        ranked = sorted(f'h{3 * number}' for number in range(21))
        fleet.down = set(ranked[::3])
        remaining = set(ranked) - fleet.down
        for host in remaining:
            fleet.entries_by_host[host].missed.clear()
        fleet.run(2.0)
        for host in remaining:
            missed = set(fleet.entries_by_host[host].missed)
            self.assertEqual(set(), missed & remaining)

    def test_entries_that_freeze_hide_no_others(self):
        for entries in LARGE_FLEETS:
            with self.subTest(entries=entries):
                fleet = batch_fleet.Fleet(entries=entries)
                fleet.run(SETTLE_S)
                fleet.down = {'h3', 'h30'}
                fleet.run(3.0)
                self.assert_settled(fleet)
                fleet.down = set()
                fleet.run(2.0)
                self.assertEqual([], fleet.unknown_pairs())

    def test_lost_datagrams_hide_no_entry(self):
        for entries in LARGE_FLEETS:
            with self.subTest(entries=entries):
                fleet = batch_fleet.Fleet(entries=entries, loss_share=0.03)
                fleet.run(10.0)
                self.assertEqual([], fleet.unknown_pairs())
                pairs = entries * (entries - 1)
                self.assertLess(len(fleet.lost_pairs()), pairs / 100)

    def test_entry_that_starts_is_known_soon(self):
        for entries in LARGE_FLEETS:
            with self.subTest(entries=entries):
                fleet = batch_fleet.Fleet(entries=entries)
                fleet.run(SETTLE_S)
                fleet.add(entries)
                fleet.run(2.0)
                self.assert_settled(fleet)

    def test_cut_in_one_direction_hides_no_entry(self):
        for hosts in (('h3',), ('h3', 'h6')):
            with self.subTest(hosts=hosts):
                fleet = batch_fleet.Fleet(entries=64)
                fleet.run(SETTLE_S)
                fleet.cuts = {('h0', host) for host in hosts}
                fleet.run(10.0)
                self.assert_settled(fleet)
                fleet.cuts = {(host, 'h0') for host in hosts}
                fleet.run(10.0)
                self.assert_settled(fleet)

    def test_old_and_new_builds_understand_each_other(self):
        for entries in LARGE_FLEETS:
            for share in (2, 5, entries):
                with self.subTest(entries=entries, share=share):
                    fleet = batch_fleet.Fleet(
                        entries=entries, old=range(0, entries, share)
                    )
                    # While a whole mixed fleet starts at once, a collector
                    # may not know an old build yet that its sender knows.
                    fleet.run(4.0)
                    for entry in fleet.live_entries():
                        entry.lost_peers.clear()
                    fleet.run(4.0)
                    self.assert_settled(fleet)

    def test_intervals_leave_time_for_lost_heartbeats(self):
        for peer_count in range(17, 64):
            self.assertLess(
                pacing.choose_batch_interval_s(peer_count=peer_count),
                pacing.choose_interval_s(peer_count=peer_count),
            )
            self.assertGreaterEqual(
                pacing.choose_batch_interval_s(peer_count=peer_count),
                conf.MIN_BATCH_WINDOW_S,
            )
