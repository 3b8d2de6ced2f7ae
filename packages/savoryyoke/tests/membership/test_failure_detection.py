"""Test failure detection among many processes in virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.membership import aggregate
from savoryyoke.membership import decisions
from savoryyoke.membership import events
from savoryyoke.membership import messages
from tests.membership import network

DETECTION_LIMIT_S = 5.0
CONTROL_LIMIT_BYTES_PER_S = 5_000
DATAGRAM_LIMIT_BYTES = 1_400

PROFILE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, database=None
)


class WithoutPauseDetection(aggregate.Membership):
    """Use evidence from before a pause."""

    def _detect_pause(self, now_s, *, is_tick):
        return []


class WithoutIsolationDetection(aggregate.Membership):
    """Declare all others failed when this process is isolated."""

    def _detect_isolation(self, now_s):
        return []


class WithoutRefutation(aggregate.Membership):
    """Refute no wrong updates about this process."""

    def _refute(self, update):
        return None


def start(*, seed, entries=8, targets=15, kind=None, settle_s=5.0, **faults):
    """Return a fleet that has run for ``settle_s`` seconds."""
    net = network.Network(seed=seed, **faults)
    fleet = network.Fleet(
        network=net, entries=entries, targets=targets, kind=kind
    )
    fleet.start_all()
    net.run(settle_s)
    fleet.clear()
    return fleet


def not_alive(fleet):
    """Return (observer, subject) pairs for live subjects seen as not alive."""
    return [
        (observer, update.vm_id)
        for observer, member in fleet.members_by_id.items()
        for update in member.members()
        if update.vm_id in fleet.members_by_id
        and update.state != messages.MemberState.ALIVE
    ]


PAUSE_SEEDS = (2, 3, 4, 5, 6, 7)


class LargeFleetTest(unittest.TestCase):
    """Test 350 entries and 1,300 targets; seed 1."""

    def test_all_processes_detect_failures_in_time(self):
        fleet = start(
            seed=1, entries=350, targets=1300, loss=0.02, duplication=0.01
        )
        dead = ['entry-3', 'target-1', 'target-2']
        for vm_id in dead:
            fleet.kill(vm_id)
        start_s = fleet.network.now_s
        fleet.network.run(start_s + 7)
        for vm_id in dead:
            failed = fleet.found(decisions.MemberFailed, vm_id=vm_id)
            observers = {observer for _, observer, _ in failed}
            self.assertEqual(observers, set(fleet.members_by_id))
            last_s = max(time_s for time_s, _, _ in failed)
            self.assertLess(last_s - start_s, DETECTION_LIMIT_S)
        accused = {
            decision.vm_id
            for _, _, decision in fleet.found(decisions.MemberFailed)
        }
        self.assertEqual(accused, set(dead))
        # Each byte sent is received once.
        rate = 2 * fleet.sent_bytes / 7 / len(fleet.members_by_id)
        self.assertLess(rate, CONTROL_LIMIT_BYTES_PER_S)
        self.assertLess(fleet.largest_bytes, DATAGRAM_LIMIT_BYTES)


class PausedDetectorTest(unittest.TestCase):
    """Test processes that resume after a pause."""

    def resume_with_an_old_suspicion(self, kind, seed):
        """Pause a detector while it suspects a member that then answers."""
        fleet = start(seed=seed, kind=kind)
        net = fleet.network
        subject = fleet.vms_by_id['target-4'].address
        detector = fleet.vms_by_id['entry-1'].address
        net.is_blocked = lambda source, destination: (
            subject
            in (
                source,
                destination,
            )
        )
        while not fleet.members_by_id['entry-1'].member('target-4').state:
            net.run(net.now_s + 0.05)
        # Datagrams to a paused process may be lost, so that no buffered one
        # refutes the suspicion.
        net.is_blocked = lambda source, destination: destination == detector
        net.pause(detector, 10.0)
        net.run(net.now_s + 10)
        net.is_blocked = lambda source, destination: False
        net.run(net.now_s + 10)
        return fleet

    def test_resumes_without_declaring_a_member_failed(self):
        for seed in PAUSE_SEEDS:
            with self.subTest(seed=seed):
                fleet = self.resume_with_an_old_suspicion(None, seed)
                log = [decision for _, decision in fleet.logs_by_id['entry-1']]
                self.assertIn(decisions.SelfSuspected(reason='paused'), log)
                self.assertIn(decisions.SelfConfirmed(), log)
                self.assertFalse(
                    [
                        decision
                        for decision in log
                        if isinstance(decision, decisions.MemberFailed)
                    ]
                )
                self.assertEqual(not_alive(fleet), [])

    def test_catches_a_detector_that_trusts_old_evidence(self):
        for seed in PAUSE_SEEDS:
            fleet = self.resume_with_an_old_suspicion(
                WithoutPauseDetection, seed
            )
            log = [decision for _, decision in fleet.logs_by_id['entry-1']]
            with self.subTest(seed=seed):
                self.assertTrue(
                    [
                        decision
                        for decision in log
                        if isinstance(decision, decisions.MemberFailed)
                    ]
                )

    @PROFILE
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        pauses=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.floats(0.0, 5.0),
                strategies.floats(1.5, 20.0),
            ),
            min_size=1,
            max_size=4,
        ),
    )
    def test_never_accuses_members_that_answer(self, seed, pauses):
        fleet = start(
            seed=seed, entries=3, targets=5, loss=0.02, duplication=0.1
        )
        net = fleet.network
        for number, wait_s, pause_s in pauses:
            net.run(net.now_s + wait_s)
            net.pause(fleet.vms_by_id[f'entry-{number}'].address, pause_s)
        net.run(net.now_s + 25)
        accused = {
            decision.vm_id
            for _, _, decision in fleet.found(decisions.MemberFailed)
        }
        paused = {f'entry-{number}' for number, _, _ in pauses}
        self.assertLessEqual(accused, paused)
        self.assertEqual(not_alive(fleet), [])


class PartitionTest(unittest.TestCase):
    """Test partitions of a path, of a direction and between regions."""

    def test_survives_the_loss_of_one_path(self):
        fleet = start(seed=3, loss=0.01)
        pair = {
            fleet.vms_by_id['entry-0'].address,
            fleet.vms_by_id['target-0'].address,
        }
        fleet.network.is_blocked = lambda source, destination: (
            {source, destination} == pair
        )
        fleet.network.run(65)
        self.assertEqual(fleet.found(decisions.MemberFailed), [])

    def isolate(self, direction, kind=None):
        """Block one direction of one member for 20 s."""
        fleet = start(seed=4, kind=kind)
        address = fleet.vms_by_id['entry-2'].address
        fleet.network.is_blocked = lambda *path: path[direction] == address
        fleet.network.run(25)
        return fleet

    def test_one_way_partitions_fail_only_the_isolated_member(self):
        for name, direction in (('send', 0), ('receive', 1)):
            with self.subTest(cannot=name):
                fleet = self.isolate(direction)
                log = [decision for _, decision in fleet.logs_by_id['entry-2']]
                self.assertIn(decisions.SelfSuspected(reason='isolated'), log)
                self.assertTrue(fleet.members_by_id['entry-2'].is_suspect)
                failed = fleet.found(decisions.MemberFailed)
                self.assertEqual(
                    {decision.vm_id for _, _, decision in failed},
                    {'entry-2'},
                )
                self.assertEqual(len(failed), 22)

    def test_catches_a_member_that_never_suspects_itself(self):
        fleet = self.isolate(1, kind=WithoutIsolationDetection)
        failed = fleet.found(decisions.MemberFailed)
        self.assertGreater(
            len({decision.vm_id for _, _, decision in failed}), 1
        )

    def partition_regions(self, kind=None):
        """Partition two regions for 30 s, then reconnect them for 60 s."""
        fleet = start(seed=5, entries=20, targets=60, loss=0.01, kind=kind)
        east = {vm.address for vm in fleet.vms if int(vm.data_centre[2:]) < 3}
        fleet.network.is_blocked = lambda source, destination: (
            (source in east) != (destination in east)
        )
        fleet.network.run(35)
        failed = fleet.found(decisions.MemberFailed)
        fleet.network.is_blocked = lambda source, destination: False
        fleet.network.run(95)
        return fleet, failed

    def test_partitioned_regions_recover(self):
        fleet, failed = self.partition_regions()
        self.assertEqual(len(failed), 2 * 39 * 41)
        self.assertEqual(fleet.found(decisions.SelfSuspected), [])
        self.assertEqual(not_alive(fleet), [])

    def test_catches_members_that_refute_nothing(self):
        fleet, _ = self.partition_regions(kind=WithoutRefutation)
        self.assertNotEqual(not_alive(fleet), [])


class LifecycleTest(unittest.TestCase):
    """Test planned stops, restarts and joins."""

    def test_a_graceful_leave_is_no_failure(self):
        fleet = start(seed=6, loss=0.02)
        fleet.feed('target-3', events.LeaveRequested())
        fleet.network.run(8)
        leaving = fleet.found(decisions.MemberLeaving, vm_id='target-3')
        self.assertEqual(len({observer for _, observer, _ in leaving}), 22)
        fleet.feed('target-3', events.Stopped())
        fleet.kill('target-3')
        fleet.network.run(18)
        left = fleet.found(decisions.MemberLeft, vm_id='target-3')
        self.assertEqual(len({observer for _, observer, _ in left}), 22)
        self.assertEqual(fleet.found(decisions.MemberFailed), [])

    def restart_thrice(self, kind=None):
        """Restart a process on its address three times."""
        fleet = start(seed=7, kind=kind, loss=0.02)
        for _ in range(3):
            fleet.kill('target-5')
            fleet.start('target-5')
            fleet.feed(
                'target-5', events.VmListRead(entries=fleet.vms, sequence=1)
            )
            fleet.network.run(fleet.network.now_s + 5)
        newest = fleet.members_by_id['target-5'].record.incarnation
        seen_incarnations = {
            member.member('target-5').incarnation
            for vm_id, member in fleet.members_by_id.items()
            if vm_id != 'target-5'
        }
        return fleet, newest, seen_incarnations

    def test_a_restart_is_a_new_incarnation_everywhere(self):
        fleet, newest, seen_incarnations = self.restart_thrice()
        self.assertEqual(seen_incarnations, {newest})
        restarted = fleet.found(decisions.MemberFailed, reason='restarted')
        self.assertGreaterEqual(len(restarted), 22)
        joined = fleet.found(decisions.MemberJoined, incarnation=newest)
        self.assertEqual(len({observer for _, observer, _ in joined}), 22)

    def test_catches_restarts_that_older_updates_hide(self):
        _, newest, seen_incarnations = self.restart_thrice(
            kind=WithoutRefutation
        )
        self.assertNotEqual(seen_incarnations, {newest})

    def test_joins_spread_while_the_vm_list_lags(self):
        net = network.Network(seed=8, loss=0.02)
        fleet = network.Fleet(network=net, entries=8, targets=16)
        lagging = fleet.vms[:-1]
        for vm in lagging:
            fleet.start(vm.vm_id)
            fleet.feed(
                vm.vm_id, events.VmListRead(entries=lagging, sequence=1)
            )
        net.run(5)
        fleet.start('target-15')
        fleet.feed(
            'target-15', events.VmListRead(entries=fleet.vms, sequence=2)
        )
        net.run(10)
        joined = fleet.found(decisions.MemberJoined, vm_id='target-15')
        observers = {observer for _, observer, _ in joined}
        self.assertEqual(observers, {vm.vm_id for vm in lagging})
