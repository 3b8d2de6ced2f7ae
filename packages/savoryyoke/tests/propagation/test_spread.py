"""Test the distribution of configuration among many processes."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.propagation import aggregate
from savoryyoke.propagation import decisions
from tests.membership import network
from tests.propagation import spread

IN_FORCE_LIMIT_S = 19.0
PLATFORM_LIMIT_PER_S = 2_000
OVERLAY = spread.OVERLAY
ReportKind = decisions.ReportKind

PROFILE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)


class WithoutPeerRequests(aggregate.Propagation):
    """Request no state of peers at the start."""

    def _request_states(self):
        return []


class WithoutRepeatedRequests(aggregate.Propagation):
    """Request no state of peers after the newest pair was refused."""

    def _repeat_requests(self, now_s):
        return []


class ReadingEverywhere(aggregate.Propagation):
    """Read the platform on every tick of every process."""

    def _read_platform(self, now_s):
        self._reader.is_reader = True
        self._reader._next_call_s = 0.0
        self._reader._watches_by_name.clear()
        return super()._read_platform(now_s)


def start(*, seed, entries=8, targets=15, kind=None, until_s=10.0, **faults):
    """Return processes that have base 1 and overlay 1 in force."""
    net = network.Network(seed=seed, **faults)
    fleet = spread.Spread(
        network=net, entries=entries, targets=targets, kind=kind
    )
    fleet.platform.publish('base', 1, 'base 1')
    fleet.platform.publish(OVERLAY, 1, 'overlay 1')
    for peer in fleet.peers:
        fleet.start(peer.vm_id)
    net.run(until_s)
    return fleet


def kinds(fleet):
    """Return the kinds of all reports."""
    return {report.kind for _, report in fleet.reports}


class SpreadTestCase(unittest.TestCase):
    """Provide the assertions that all cases share."""

    def assert_in_force(self, fleet, key):
        """Assert that all processes have these revisions in force."""
        self.assertEqual(fleet.in_force(), {key: len(fleet.nodes_by_id)})

    def assert_never_reverted(self, fleet):
        """Assert that in no process a revision in force decreased."""
        last_by_node = {}
        for _, vm_id, node, key in fleet.applied:
            previous = last_by_node.get(node, (-1, -1))
            self.assertGreaterEqual(key[0], previous[0], vm_id)
            self.assertGreaterEqual(key[1], previous[1], vm_id)
            last_by_node[node] = key


class LargeFleetTest(SpreadTestCase):
    """Test 350 entries and 1,300 targets; seed 1."""

    def test_starts_and_changes_in_time_within_the_rate(self):
        fleet = start(seed=1, entries=350, targets=1300, loss=0.02)
        self.assert_in_force(fleet, (1, 1))
        fleet.applied.clear()
        for number in (2, 3, 4):
            # Revision 4 has the same text as revision 1.
            text = 'base 1' if number == 4 else f'base {number}'
            fleet.platform.publish('base', number, text)
            fleet.network.run(fleet.network.now_s + 0.4)
        fleet.network.run(30)
        last_s = max(time_s for time_s, _, _, _ in fleet.applied)
        self.assertLess(last_s - 10.8, IN_FORCE_LIMIT_S)
        self.assert_in_force(fleet, (4, 1))
        self.assert_never_reverted(fleet)
        calls = fleet.platform.calls_by_second
        self.assertLess(max(calls.values()), PLATFORM_LIMIT_PER_S)
        self.assertLessEqual(len(fleet.platform.callers), 12)

    def test_a_restart_of_all_beside_a_stale_platform(self):
        fleet = start(seed=2, entries=350, targets=1300)
        fleet.platform.stale = dict(fleet.platform.documents)
        fleet.platform.publish('base', 2, 'base 2')
        fleet.network.run(15)
        fleet.platform.stale_share = 1.0
        for peer in fleet.peers[40:]:
            fleet.start(peer.vm_id)
        fleet.network.run(30)
        self.assert_in_force(fleet, (2, 1))
        again = [item for item in fleet.applied if item[0] > 15]
        self.assertEqual({item[3] for item in again}, {(2, 1)})
        calls = fleet.platform.calls_by_second
        self.assertLess(max(calls.values()), PLATFORM_LIMIT_PER_S)

    def test_no_peer_and_no_platform_stay_within_the_rate(self):
        net = network.Network(seed=3, loss=1.0)
        fleet = spread.Spread(network=net, entries=350, targets=1300)
        net.is_blocked = lambda source, destination: True
        fleet.platform.is_down = True
        for peer in fleet.peers:
            fleet.start(peer.vm_id)
        net.run(25)
        fleet.platform.is_down = False
        fleet.platform.publish('base', 1, 'base 1')
        fleet.platform.publish(OVERLAY, 1, 'overlay 1')
        net.run(45)
        self.assert_in_force(fleet, (1, 1))
        self.assertEqual(kinds(fleet), {ReportKind.UNCONFIRMED})
        calls = fleet.platform.calls_by_second
        self.assertLess(max(calls.values()), PLATFORM_LIMIT_PER_S)


class PlatformFaultTest(SpreadTestCase):
    """Test a platform that is down, stale or inconsistent."""

    def test_a_stale_replica_is_never_followed(self):
        fleet = start(seed=4)
        fleet.platform.stale = dict(fleet.platform.documents)
        fleet.platform.stale_share = 0.5
        fleet.platform.publish('base', 2, 'base 2')
        fleet.network.run(60)
        self.assert_in_force(fleet, (2, 1))
        self.assertIn(ReportKind.STALE_PLATFORM, kinds(fleet))
        self.assert_never_reverted(fleet)

    def test_a_long_outage_and_the_return(self):
        fleet = start(seed=5)
        fleet.platform.is_down = True
        fleet.network.run(200)
        fleet.start('target-3')
        fleet.network.run(300)
        self.assert_in_force(fleet, (1, 1))
        fleet.platform.is_down = False
        fleet.platform.publish('base', 2, 'base 2')
        fleet.network.run(300 + IN_FORCE_LIMIT_S)
        self.assert_in_force(fleet, (2, 1))

    def test_two_contents_of_a_revision_are_reported(self):
        fleet = start(seed=6)
        fleet.reports.clear()
        node = fleet.nodes_by_id['target-2']
        fleet.feed(
            'target-2',
            node,
            spread.events.PlatformRead(
                name='base', revision=1, text='other 1'
            ),
        )
        self.assertEqual(kinds(fleet), {ReportKind.CONFLICTING_CONTENTS})
        self.assert_in_force(fleet, (1, 1))

    def test_malformed_documents_change_nothing(self):
        fleet = start(seed=7)
        fleet.reports.clear()
        node = fleet.nodes_by_id['target-2']
        malformed_documents = [
            (2, None),
            (-1, 'x'),
            ('3', 'x'),
            (2, 'x' * 1_048_577),
        ]
        for revision, text in malformed_documents:
            event = spread.events.PlatformRead(
                name='base', revision=revision, text=text
            )
            fleet.feed('target-2', node, event)
        self.assertEqual(len(fleet.reports), len(malformed_documents))
        self.assertEqual(kinds(fleet), {ReportKind.MALFORMED})
        fleet.network.run(20)
        self.assert_in_force(fleet, (1, 1))


class InvalidRevisionTest(SpreadTestCase):
    """Test pairs of revisions that are refused."""

    def refuse_the_newest(self, kind=None):
        """Isolate one process while a valid and an invalid base appear."""
        fleet = start(seed=8, kind=kind)
        net = fleet.network
        net.is_blocked = lambda *path: 'target-7' in path
        fleet.platform.publish('base', 2, 'base 2')
        net.run(15)
        fleet.platform.publish('base', 3, 'bad base 3')
        net.run(20)
        fleet.start('target-8')
        net.is_blocked = lambda source, destination: False
        net.run(50)
        return fleet

    def test_a_bad_revision_is_seen_but_never_in_force(self):
        fleet = self.refuse_the_newest()
        self.assert_in_force(fleet, (2, 1))
        for node in fleet.nodes_by_id.values():
            seen = {version.name: version.revision for version in node.seen}
            self.assertEqual(seen['base'], 3)
        self.assertIn(ReportKind.REFUSED, kinds(fleet))
        self.assert_never_reverted(fleet)

    def test_a_later_valid_revision_is_not_blocked(self):
        fleet = self.refuse_the_newest()
        fleet.platform.publish(OVERLAY, 2, 'overlay 2')
        fleet.network.run(60)
        self.assert_in_force(fleet, (2, 1))
        fleet.platform.publish('base', 4, 'base 4')
        fleet.network.run(70)
        self.assert_in_force(fleet, (4, 2))

    def test_catches_a_process_without_repeated_requests(self):
        fleet = self.refuse_the_newest(kind=WithoutRepeatedRequests)
        self.assertEqual(fleet.nodes_by_id['target-7'].in_force, (1, 1))


class PeerFaultTest(SpreadTestCase):
    """Test partitions, pauses and busy peers."""

    def test_a_partition_with_two_versions_heals(self):
        fleet = start(seed=9, entries=20, targets=60, loss=0.02)
        east = {
            peer.vm_id for peer in fleet.peers if int(peer.data_centre[2:]) < 3
        }
        net = fleet.network
        net.is_blocked = lambda source, destination: (
            (source in east) != (destination in east)
        )
        call = fleet.platform.call

        def call_unless_east(vm_id, decision, answer):
            # The replica that the eastern readers call does not have base 3.
            if vm_id in east and fleet.platform.documents['base'][0] == 3:
                answer(spread.events.PlatformFailed(name=decision.name))
            else:
                call(vm_id, decision, answer)

        fleet.platform.call = call_unless_east
        fleet.platform.publish('base', 2, 'base 2')
        net.run(40)
        self.assert_in_force(fleet, (2, 1))
        for key in list(fleet.platform._watches):
            if key[0] in east:
                del fleet.platform._watches[key]
        fleet.platform.publish('base', 3, 'base 3')
        net.run(60)
        self.assertEqual(set(fleet.in_force()), {(2, 1), (3, 1)})
        net.is_blocked = lambda source, destination: False
        net.run(60 + IN_FORCE_LIMIT_S)
        self.assert_in_force(fleet, (3, 1))
        self.assert_never_reverted(fleet)

    def test_a_paused_process_catches_up_and_reverts_nothing(self):
        fleet = start(seed=10, duplication=0.2)
        fleet.network.pause('entry-0', 40.0)
        fleet.network.pause('target-0', 40.0)
        for number in range(2, 7):
            fleet.platform.publish('base', number, f'base {number}')
            fleet.network.run(10 + 5 * number)
        fleet.network.run(60)
        self.assert_in_force(fleet, (6, 1))
        self.assert_never_reverted(fleet)

    def test_open_transfers_stay_within_the_limit(self):
        fleet = start(seed=11, entries=60, targets=240)
        fleet.most_open_transfers = 0
        # Simulates the long transfer of a document of about a megabyte.
        fleet.transfer_s = 1.0
        fleet.platform.publish('base', 2, 'x' * 1_000_000)
        fleet.network.run(10 + IN_FORCE_LIMIT_S)
        self.assert_in_force(fleet, (2, 1))
        self.assertLessEqual(fleet.most_open_transfers, 4)


class RestartTest(SpreadTestCase):
    """Test which pair a restarted process puts into force first."""

    def restart_beside_a_stale_platform(self, kind=None, transfer_s=0.05):
        """Restart readers while the platform returns an older revision."""
        fleet = start(seed=12, kind=kind)
        fleet.platform.stale = dict(fleet.platform.documents)
        fleet.platform.publish('base', 2, 'base 2')
        fleet.network.run(15)
        fleet.platform.stale_share = 1.0
        fleet.applied.clear()
        fleet.transfer_s = transfer_s
        # No gossip reaches the restarted processes, only answers to requests.
        fleet.network.loss = 1.0
        for number in range(4):
            fleet.start(f'entry-{number}')
        fleet.network.run(40)
        return {key for _, _, _, key in fleet.applied}

    def test_peers_override_a_stale_platform(self):
        for transfer_s in (0.05, 2.8):
            with self.subTest(transfer_s=transfer_s):
                applied = self.restart_beside_a_stale_platform(
                    transfer_s=transfer_s
                )
                self.assertEqual(applied, {(2, 1)})

    def test_catches_a_process_without_peer_requests(self):
        applied = self.restart_beside_a_stale_platform(WithoutPeerRequests)
        self.assertIn((1, 1), applied)

    def test_catches_a_fleet_that_ignores_the_rate(self):
        fleet = start(seed=13, kind=ReadingEverywhere, until_s=3.0)
        calls = fleet.platform.calls_by_second
        # The rate of 23 processes is scaled to that of 1,650.
        self.assertGreater(
            max(calls.values()) * 1650 / 23, PLATFORM_LIMIT_PER_S
        )

    @PROFILE
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ['base', 'overlay', 'bad', 'restart', 'pause']
                    + ['cut', 'heal', 'stale', 'fresh', 'down', 'up']
                ),
                strategies.integers(0, 11),
                strategies.floats(0.0, 8.0),
            ),
            max_size=25,
        ),
        transfer_s=strategies.sampled_from([0.05, 1.0, 2.8]),
    )
    def test_never_reverts_and_converges(self, seed, steps, transfer_s):
        fleet = start(
            seed=seed, entries=5, targets=7, loss=0.05, duplication=0.1
        )
        fleet.transfer_s = transfer_s
        for kind, number, wait_s in steps:
            step(fleet, kind, number)
            fleet.network.run(fleet.network.now_s + wait_s)
        for kind in ('heal', 'fresh', 'up'):
            step(fleet, kind, 0)
        revision = fleet.platform.documents['base'][0] + 1
        fleet.platform.publish('base', revision, 'last')
        fleet.network.run(fleet.network.now_s + 45)
        overlay = fleet.platform.documents[OVERLAY][0]
        self.assert_in_force(fleet, (revision, overlay))
        self.assert_never_reverted(fleet)
        self.assertEqual(fleet.below_floor, [])


def step(fleet, kind, number):
    """Apply one change to the fleet or the platform."""
    platform, net = fleet.platform, fleet.network
    vm_id = fleet.peers[number % len(fleet.peers)].vm_id
    if kind in ('base', 'bad', 'overlay'):
        name = OVERLAY if kind == 'overlay' else 'base'
        revision = platform.documents[name][0] + 1
        platform.publish(name, revision, f'{kind} {revision}')
    elif kind == 'restart':
        fleet.start(vm_id)
    elif kind == 'pause':
        net.pause(vm_id, 5.0)
    elif kind == 'cut':
        isolated_ids = {peer.vm_id for peer in fleet.peers[: number % 11 + 1]}
        net.is_blocked = lambda source, destination: (
            (source in isolated_ids) != (destination in isolated_ids)
        )
    elif kind == 'heal':
        net.is_blocked = lambda source, destination: False
    elif kind == 'stale':
        platform.stale = dict(platform.documents)
        platform.stale_share = 0.7
    elif kind == 'fresh':
        platform.stale_share = 0.0
    else:
        platform.is_down = kind == 'down'
