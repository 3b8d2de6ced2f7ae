"""Test which peers get a heartbeat directly, and which get it passed on."""

import random
import unittest

from savoryyoke.peers import conf
from savoryyoke.peers import messages
from savoryyoke.peers import pacing
from savoryyoke.peers import relays
from savoryyoke.peers import table
from savoryyoke.published import models

SECONDS = 10.0


def build_heartbeat(name, data_centre, *, sequence=1, **changes):
    fields = {
        'sender_id': name,
        'sender_host': name,
        'incarnation': 1,
        'sequence': sequence,
        'caller_address': f'{name}:80',
        'data_centre': data_centre,
        'is_ready': True,
        'is_leaving': False,
        'published_as_of': models.Revision(number=1),
        'in_flight': (),
        'contact_hosts': (),
        'can_relay': True,
        'wants_relay': True,
    }
    return messages.Heartbeat(**(fields | changes))


class RecipientsTests(unittest.TestCase):
    def setUp(self):
        self.peers = [
            build_heartbeat(f'{data_centre}{number}', data_centre)
            for data_centre in 'abc'
            for number in range(1, 4)
        ]
        self.hosts = sorted(peer.sender_host for peer in self.peers)

    def choose(self, *, sequence=1, hosts=None, peers=None):
        """Return the recipients of an entry in the data centre ``a``."""
        return relays.choose_recipients(
            hosts or self.hosts,
            live_heartbeats=self.peers if peers is None else peers,
            own_data_centre='a',
            sequence=sequence,
        )

    def test_one_peer_of_each_other_data_centre(self):
        hosts = self.choose()
        self.assertEqual({'a1', 'a2', 'a3'}, set(hosts) & set(self.hosts[:3]))
        self.assertEqual(['a', 'a', 'a', 'b', 'c'], [h[0] for h in hosts])

    def test_relays_take_turns(self):
        chosen = {
            host
            for sequence in range(3)
            for host in self.choose(sequence=sequence)
        }
        self.assertEqual(set(self.hosts), chosen)

    def test_contacts_that_are_not_alive_get_it_directly(self):
        hosts = self.choose(hosts=[*self.hosts, 'x9'])
        self.assertIn('x9', hosts)
        self.assertEqual(self.hosts, self.choose(peers=[]))

    def test_peers_that_do_not_relay_get_it_directly(self):
        older = build_heartbeat('b4', 'b', can_relay=False)
        hosts = self.choose(
            hosts=[*self.hosts, 'b4'], peers=[*self.peers, older]
        )
        self.assertIn('b4', hosts)

    def forward(self, heartbeat, *, source_host):
        return relays.choose_forward_hosts(
            heartbeat,
            source_host=source_host,
            live_heartbeats=self.peers,
            own_data_centre='b',
        )

    def test_heartbeat_is_passed_on_once_in_the_own_data_centre(self):
        heartbeat = build_heartbeat('a1', 'a')
        self.assertEqual(
            ['b1', 'b2', 'b3'], self.forward(heartbeat, source_host='a1')
        )
        self.assertEqual([], self.forward(heartbeat, source_host='b2'))

    def test_other_heartbeats_are_not_passed_on(self):
        direct = build_heartbeat('a1', 'a', wants_relay=False)
        self.assertEqual([], self.forward(direct, source_host='a1'))
        near = build_heartbeat('b1', 'b')
        self.assertEqual([], self.forward(near, source_host='b1'))

    def test_small_fleets_send_directly(self):
        self.assertFalse(
            relays.uses_relays(entry_count=conf.DIRECT_FLEET_ENTRIES)
        )
        self.assertTrue(
            relays.uses_relays(entry_count=conf.DIRECT_FLEET_ENTRIES + 1)
        )


class Fleet:
    """Simulate entries in three data centres that exchange heartbeats."""

    def __init__(self, *, entries, loss_share, seed, down=frozenset()):
        self._random = random.Random(seed)
        self._loss_share = loss_share
        self._down = down
        self._data_centres_by_host = {
            f'h{number}': f'dc{number % 3}' for number in range(entries)
        }
        self.tables_by_host = {
            host: table.PeerTable(
                own_id=host, own_host=host, seed_hosts=['h0']
            )
            for host in self._data_centres_by_host
        }
        self.datagrams_between = 0
        self.lost_peers = 0

    def run(self, *, uses_relays):
        """Simulate the heartbeats of ``SECONDS``."""
        hosts = list(self._data_centres_by_host)
        interval_s = pacing.choose_interval_s(peer_count=len(hosts) - 1)
        beat = 0
        while beat * interval_s < SECONDS:
            beat += 1
            now_s = beat * interval_s
            for host in hosts:
                if host not in self._down:
                    self._send(host, beat, now_s, uses_relays)
            for host in hosts:
                lost = self.tables_by_host[host].remove_silent(now_s=now_s)
                self.lost_peers += len(lost)

    def _send(self, host, beat, now_s, uses_relays):
        own_table = self.tables_by_host[host]
        data_centre = self._data_centres_by_host[host]
        heartbeat = build_heartbeat(
            host,
            data_centre,
            sequence=beat,
            contact_hosts=own_table.alive_hosts(now_s=now_s),
            wants_relay=uses_relays,
        )
        recipients = own_table.contact_hosts(now_s=now_s)
        if uses_relays:
            recipients = relays.choose_recipients(
                recipients,
                live_heartbeats=own_table.alive(now_s=now_s),
                own_data_centre=data_centre,
                sequence=beat,
            )
        for recipient in recipients:
            self._deliver(heartbeat, host, recipient, now_s)

    def _deliver(self, heartbeat, source_host, host, now_s):
        data_centre = self._data_centres_by_host[host]
        if self._data_centres_by_host[source_host] != data_centre:
            self.datagrams_between += 1
        if host in self._down or self._random.random() < self._loss_share:
            return
        own_table = self.tables_by_host[host]
        if not own_table.receive(heartbeat, now_s=now_s):
            return
        for peer_host in relays.choose_forward_hosts(
            heartbeat,
            source_host=source_host,
            live_heartbeats=own_table.alive(now_s=now_s),
            own_data_centre=data_centre,
        ):
            self._deliver(heartbeat, host, peer_host, now_s)


class FleetTests(unittest.TestCase):
    """Play fleets of the grown sites' size."""

    ENTRIES = 44

    def play(self, *, uses_relays=True, loss_share=0.0, down=frozenset()):
        fleet = Fleet(
            entries=self.ENTRIES, loss_share=loss_share, seed=1, down=down
        )
        fleet.run(uses_relays=uses_relays)
        return fleet

    def assert_all_known(self, fleet, *, down=frozenset()):
        for host, own_table in fleet.tables_by_host.items():
            if host in down:
                continue
            known = {
                heartbeat.sender_id
                for heartbeat in own_table.alive(now_s=SECONDS)
            }
            expected = set(fleet.tables_by_host) - {host} - down
            self.assertEqual(expected, known)

    def test_all_entries_know_each_other(self):
        fleet = self.play()
        self.assert_all_known(fleet)
        self.assertEqual(0, fleet.lost_peers)

    def test_few_datagrams_cross_between_data_centres(self):
        relayed = self.play().datagrams_between
        direct = self.play(uses_relays=False).datagrams_between
        self.assertLess(relayed, direct / 5)

    def test_entries_that_are_down_hide_no_others(self):
        down = frozenset({'h1', 'h2', 'h10'})
        fleet = self.play(down=down)
        self.assert_all_known(fleet, down=down)
        self.assertEqual(0, fleet.lost_peers)

    def test_lost_datagrams_hide_no_entry(self):
        fleet = self.play(loss_share=0.03)
        self.assert_all_known(fleet)
        pairs = self.ENTRIES * (self.ENTRIES - 1)
        self.assertLess(fleet.lost_peers, pairs / 100)
