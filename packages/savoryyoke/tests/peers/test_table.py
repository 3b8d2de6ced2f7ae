"""Test the state that an entry stores about its peers."""

import unittest

from savoryyoke.peers import conf
from savoryyoke.peers import messages
from savoryyoke.peers import slow_targets
from savoryyoke.peers import table
from savoryyoke.published import models


def build_heartbeat(number, *, sequence=1, incarnation=1, **changes):
    fields = {
        'sender_id': f'e{number}',
        'sender_host': f'10.0.0.{number}',
        'incarnation': incarnation,
        'sequence': sequence,
        'caller_address': f'10.0.0.{number}:80',
        'data_centre': 'dc',
        'is_ready': True,
        'is_leaving': False,
        'published_as_of': models.Revision(number=1),
        'in_flight': (),
        'contact_hosts': (),
    }
    return messages.Heartbeat(**(fields | changes))


class PeerTableTests(unittest.TestCase):
    def setUp(self):
        self.table = table.PeerTable(
            own_id='e1', own_host='10.0.0.1', seed_hosts=['10.0.0.2']
        )

    def alive_ids(self, now_s):
        return {
            heartbeat.sender_id for heartbeat in self.table.alive(now_s=now_s)
        }

    def test_peer_is_alive_until_its_timeout(self):
        self.table.receive(build_heartbeat(2), now_s=0.0)
        self.assertEqual({'e2'}, self.alive_ids(conf.PEER_TIMEOUT_S))
        self.assertEqual(set(), self.alive_ids(conf.PEER_TIMEOUT_S + 0.01))

    def test_late_datagram_has_no_effect(self):
        self.table.receive(build_heartbeat(2, sequence=5), now_s=0.0)
        late = build_heartbeat(2, sequence=4, is_leaving=True)
        self.assertFalse(self.table.receive(late, now_s=0.1))
        self.assertFalse(self.table.alive(now_s=0.1)[0].is_leaving)

    def test_sequence_starts_again_after_a_restart(self):
        self.table.receive(build_heartbeat(2, sequence=5), now_s=0.0)
        restarted = build_heartbeat(2, sequence=1, incarnation=2)
        self.assertTrue(self.table.receive(restarted, now_s=0.1))

    def test_own_heartbeat_is_ignored(self):
        self.assertFalse(self.table.receive(build_heartbeat(1), now_s=0.0))

    def test_largest_number_alive_counts_peers_that_return(self):
        """Guard against shares of limits that are too large.

        They are divided by this number; a peer that returns counts again.
        """
        self.table.receive(build_heartbeat(2), now_s=0.0)
        self.table.receive(build_heartbeat(3), now_s=0.9)
        self.assertEqual(3, self.table.max_entry_count)
        self.table.receive(build_heartbeat(4), now_s=1.5)
        self.assertEqual(3, self.table.max_entry_count)
        self.table.receive(build_heartbeat(2, sequence=2), now_s=1.6)
        self.assertEqual(4, self.table.max_entry_count)

    def test_contacts_are_taken_from_heartbeats(self):
        self.table.receive(
            build_heartbeat(2, contact_hosts=('10.0.0.1', '10.0.0.3')),
            now_s=0.0,
        )
        self.assertEqual(
            ['10.0.0.2', '10.0.0.3'], self.table.contact_hosts(now_s=0.1)
        )

    def test_contacts_of_a_large_fleet_take_turns(self):
        numbers = range(2, 46)
        named = set()
        for second in range(3):
            now_s = second * conf.CONTACTS_INTERVAL_S
            for number in numbers:
                self.table.receive(
                    build_heartbeat(number, sequence=second + 1), now_s=now_s
                )
            hosts = self.table.alive_hosts(now_s=now_s)
            self.assertEqual(conf.HEARTBEAT_CONTACTS_LIMIT, len(set(hosts)))
            named.update(hosts)
        self.assertEqual({f'10.0.0.{number}' for number in numbers}, named)

    def test_silent_contacts_are_removed_except_seeds(self):
        self.table.receive(
            build_heartbeat(2, contact_hosts=('10.0.0.3',)), now_s=0.0
        )
        later_s = conf.CONTACT_LIFETIME_S + 1
        self.assertEqual(['10.0.0.2'], self.table.contact_hosts(now_s=later_s))

    def test_largest_number_of_entries_never_decreases(self):
        self.table.receive(build_heartbeat(2), now_s=0.0)
        self.table.receive(build_heartbeat(3), now_s=0.0)
        self.table.remove_silent(now_s=9.0)
        self.assertEqual(3, self.table.max_entry_count)


class DirectoryTests(unittest.TestCase):
    def test_only_ready_entries_that_do_not_leave_are_listed(self):
        addresses = table.serving_addresses(
            [
                build_heartbeat(2),
                build_heartbeat(3, is_ready=False),
                build_heartbeat(4, is_leaving=True),
            ]
        )
        self.assertEqual(['10.0.0.2:80'], addresses)


class SlowTargetsTests(unittest.TestCase):
    def setUp(self):
        self.reports = slow_targets.SlowTargets()

    def test_report_expires(self):
        self.reports.record('a:1', 4.0, now_s=0.0)
        self.assertEqual({'a:1': 4.0}, self.reports.paces(now_s=0.9))
        self.assertEqual({}, self.reports.paces(now_s=1.1))
        self.assertEqual((), self.reports.reports_to_forward(now_s=1.1))

    def test_only_reports_from_the_targets_vm_are_forwarded(self):
        self.reports.record('a:1', 4.0, now_s=0.0)
        forwarded = (messages.SlowTarget(address='b:1', pace=2.0),)
        self.reports.record_forwarded(forwarded, now_s=0.0)
        self.assertEqual(
            {'a:1': 4.0, 'b:1': 2.0}, self.reports.paces(now_s=0.5)
        )
        self.assertEqual(
            ['a:1'],
            [
                target.address
                for target in self.reports.reports_to_forward(now_s=0.5)
            ],
        )


class NewerViewTests(unittest.TestCase):
    def find(self, heartbeats, *, number, epoch=0, version=0):
        """Return the host of the peer with the newest view, or None."""
        heartbeat = table.find_newer_view(
            heartbeats,
            as_of=models.Revision(epoch=epoch, number=number),
            configuration_version=version,
        )
        return heartbeat and heartbeat.sender_host

    def test_finds_the_newest_view_above_the_own_one(self):
        heartbeats = [
            build_heartbeat(2, published_as_of=models.Revision(number=7)),
            build_heartbeat(3),
        ]
        self.assertEqual('10.0.0.2', self.find(heartbeats, number=6))
        self.assertIsNone(self.find(heartbeats, number=7))
        self.assertIsNone(self.find([], number=0))

    def test_newer_epoch_precedes_a_higher_number(self):
        heartbeats = [
            build_heartbeat(2, published_as_of=models.Revision(number=90)),
            build_heartbeat(
                3, published_as_of=models.Revision(epoch=1, number=60)
            ),
        ]
        self.assertEqual('10.0.0.3', self.find(heartbeats, number=90))
        self.assertIsNone(self.find(heartbeats, epoch=1, number=60))

    def test_finds_a_newer_configuration_at_an_equal_revision(self):
        heartbeats = [build_heartbeat(2, configuration_version=14)]
        self.assertEqual(
            '10.0.0.2', self.find(heartbeats, number=1, version=12)
        )
        self.assertIsNone(self.find(heartbeats, number=1, version=14))
