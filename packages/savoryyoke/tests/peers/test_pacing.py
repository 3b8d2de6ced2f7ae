"""Test which heartbeats are sent and how often."""

import dataclasses
import unittest

from savoryyoke.peers import conf
from savoryyoke.peers import messages
from savoryyoke.peers import pacing
from savoryyoke.peers import table

from savoryyoke.published import models

from tests.peers import test_table

HOSTS = ('10.0.0.2', '10.0.0.3')


def build_revision(number):
    return models.Revision(number=number)


class HeartbeatPacingTests(unittest.TestCase):
    def setUp(self):
        self.pacing = pacing.HeartbeatPacing()
        self.heartbeat = test_table.build_heartbeat(1, contact_hosts=HOSTS)

    def select(self, now_s, **changes):
        changed = dataclasses.replace(self.heartbeat, **changes)
        return self.pacing.select(changed, now_s=now_s)

    def test_first_heartbeat_is_sent_unchanged(self):
        self.assertEqual(self.heartbeat, self.select(0.0))

    def test_unchanged_heartbeat_is_not_sent_for_a_while(self):
        self.select(0.0)
        self.assertIsNone(self.select(0.1, sequence=2))
        later_s = conf.UNCHANGED_HEARTBEAT_INTERVAL_S
        self.assertIsNotNone(self.select(later_s, sequence=3))

    def test_every_change_is_sent_at_once(self):
        changes = (
            {'in_flight': (messages.InFlight(target_id='t', requests=1),)},
            {'is_ready': False},
            {'is_leaving': True},
            {'published_as_of': build_revision(2)},
            {'configuration_version': 2},
            {'slow_targets': (messages.SlowTarget(address='a', pace=2.0),)},
        )
        for change in changes:
            with self.subTest(change=change):
                self.pacing = pacing.HeartbeatPacing()
                self.select(0.0)
                sent_heartbeat = self.select(0.01, sequence=2, **change)
                ((name, value),) = change.items()
                self.assertEqual(value, getattr(sent_heartbeat, name))

    def test_unchanged_contacts_are_not_sent_for_a_while(self):
        self.select(0.0)
        sent_heartbeat = self.select(0.1, published_as_of=build_revision(2))
        self.assertEqual((), sent_heartbeat.contact_hosts)
        sent_heartbeat = self.select(
            conf.CONTACTS_INTERVAL_S, published_as_of=build_revision(3)
        )
        self.assertEqual(HOSTS, sent_heartbeat.contact_hosts)

    def test_changed_contacts_are_sent_at_once(self):
        self.select(0.0)
        sent_heartbeat = self.select(0.1, contact_hosts=HOSTS[:1])
        self.assertEqual(HOSTS[:1], sent_heartbeat.contact_hosts)

    def test_unchanged_peer_stays_alive_if_two_of_three_heartbeats_are_lost(
        self,
    ):
        receiver = table.PeerTable(
            own_id='e2', own_host='10.0.0.2', seed_hosts=[]
        )
        sent_count = 0
        for tick in range(200):
            now_s = tick * conf.HEARTBEAT_INTERVAL_S
            heartbeat = self.select(now_s, sequence=tick)
            if heartbeat is not None:
                if sent_count % 3 == 0:
                    receiver.receive(heartbeat, now_s=now_s)
                sent_count += 1
            self.assertEqual([], receiver.remove_silent(now_s=now_s))
        self.assertLess(sent_count, 80)


class IntervalTests(unittest.TestCase):
    def test_small_fleets_use_the_shortest_interval(self):
        for peers in (0, 1, 7):
            self.assertEqual(
                conf.HEARTBEAT_INTERVAL_S,
                pacing.choose_interval_s(peer_count=peers),
            )

    def test_heartbeats_of_a_large_fleet_are_limited(self):
        for peers, limit_per_s in ((42, 200), (79, 200), (349, 500)):
            with self.subTest(peers=peers):
                interval_s = pacing.choose_interval_s(peer_count=peers)
                self.assertLessEqual(peers / interval_s, limit_per_s)

    def test_one_lost_heartbeat_does_not_exceed_the_timeout(self):
        for peers in (7, 42, 79, 199):
            with self.subTest(peers=peers):
                interval_s = pacing.choose_interval_s(peer_count=peers)
                self.assertLess(2 * interval_s, conf.PEER_TIMEOUT_S)
