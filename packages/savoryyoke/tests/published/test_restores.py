"""Test views of a platform that is restored from an older copy."""

import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from savoryyoke.published import holds
from savoryyoke.published import models
from savoryyoke.published import view

LEASED_S = 3.6
UNVERSIONED_S = 10.0
CONFIG = 'config'
CLOSURE = 'closed'
PROFILE = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    # Mutation tests run the same test on instances of their own.
    suppress_health_check=[hypothesis.HealthCheck.differing_executors],
)


def read_version(item):
    """Return the version in an item's value; closures have none."""
    if item.key == CLOSURE:
        return None
    return (int(item.value),)


def build_view():
    order = holds.ItemOrder(
        is_leased=lambda key: key.startswith('t'),
        read_version=read_version,
        hold_times=holds.HoldTimes(
            leased_s=LEASED_S, unversioned_s=UNVERSIONED_S
        ),
    )
    return view.PublishedView(order=order)


class Platform:
    """Hold published values; restore them from a copy."""

    def __init__(self):
        self.items_by_key = {}
        self.as_of = models.Revision(epoch=1, number=1)

    def write(self, key, version):
        """Publish a version of a value and return the change."""
        self._advance()
        item = models.Item(key=key, revision=self.as_of, value=b'%d' % version)
        self.items_by_key[key] = item
        return models.Changes(as_of=self.as_of, events=(item,))

    def remove(self, key):
        """Remove a value and return the change."""
        self._advance()
        self.items_by_key.pop(key, None)
        removal = models.Removal(key=key, revision=self.as_of)
        return models.Changes(as_of=self.as_of, events=(removal,))

    def copy(self):
        return dict(self.items_by_key), self.as_of

    def restore(self, copy):
        items_by_key, as_of = copy
        self.as_of = models.Revision(
            epoch=self.as_of.epoch + 1, number=as_of.number
        )
        self.items_by_key = {
            key: dataclasses.replace(
                item,
                revision=dataclasses.replace(
                    item.revision, epoch=self.as_of.epoch
                ),
            )
            for key, item in items_by_key.items()
        }

    def read(self):
        return models.Snapshot(
            as_of=self.as_of, items=tuple(self.items_by_key.values())
        )

    def _advance(self):
        self.as_of = models.Revision(
            epoch=self.as_of.epoch, number=self.as_of.number + 1
        )


def read_values(values):
    """Return the versions in a view, by key."""
    return {key: int(item.value) for key, item in values.items_by_key.items()}


class RestoreCase(unittest.TestCase):
    """Provide a view that has accepted more than the restored platform."""

    def setUp(self):
        self.platform = Platform()
        self.platform.write(CONFIG, 12)
        self.platform.write('t1', 1)
        self.platform.write('t2', 1)
        self.copy = self.platform.copy()
        self.platform.write(CONFIG, 14)
        self.platform.write('t2', 5)
        self.platform.write('t3', 1)
        self.platform.write(CLOSURE, 0)
        self.view = build_view()
        self.view.apply(self.platform.read(), now_s=0.0)
        self.view.apply(self.platform.remove('t1'), now_s=0.1)
        self.accepted = {CONFIG: 14, 't2': 5, 't3': 1, CLOSURE: 0}

    def restore(self, *, now_s=1.0, observer=None):
        self.platform.restore(self.copy)
        (observer or self.view).apply(
            self.platform.read(), now_s=now_s, after_outage=True
        )


class RestoredViewTests(RestoreCase):
    def test_accepted_state_is_kept(self):
        self.restore()
        self.assertEqual(self.accepted, read_values(self.view))
        self.assertEqual(self.platform.as_of, self.view.as_of)

    def test_further_snapshots_change_nothing(self):
        self.restore()
        self.platform.write('t4', 1)
        self.view.apply(self.platform.read(), now_s=1.5)
        self.assertEqual(self.accepted | {'t4': 1}, read_values(self.view))

    def test_held_state_ends_except_for_the_configuration(self):
        self.restore()
        self.view.expire(now_s=1.0 + LEASED_S)
        self.assertEqual(
            {CONFIG: 14, 't1': 1, 't2': 1, CLOSURE: 0}, read_values(self.view)
        )
        self.view.expire(now_s=1.0 + UNVERSIONED_S)
        self.assertNotIn(CLOSURE, read_values(self.view))
        self.view.apply(self.platform.read(), now_s=999.0)
        self.assertEqual(14, read_values(self.view)[CONFIG])

    def test_written_values_replace_held_ones(self):
        self.restore()
        for change in (
            self.platform.write(CONFIG, 15),
            self.platform.write('t2', 6),
            self.platform.write('t1', 9),
            self.platform.write(CLOSURE, 1),
        ):
            self.view.apply(change, now_s=1.5)
        self.view.expire(now_s=99.0)
        self.assertEqual(
            {CONFIG: 15, 't1': 9, 't2': 6, CLOSURE: 1}, read_values(self.view)
        )

    def test_older_configuration_that_is_written_again_has_no_effect(self):
        self.restore()
        self.view.apply(self.platform.write(CONFIG, 13), now_s=1.5)
        self.view.apply(self.platform.read(), now_s=1.6)
        self.assertEqual(14, read_values(self.view)[CONFIG])
        self.view.apply(self.platform.write(CONFIG, 14), now_s=1.7)
        self.assertEqual(
            self.platform.as_of, self.view.items_by_key[CONFIG].revision
        )

    def test_target_with_an_older_clock_is_accepted_when_it_writes(self):
        self.restore()
        self.view.apply(self.platform.write('t2', 2), now_s=1.5)
        self.assertEqual(2, read_values(self.view)['t2'])

    def test_removal_in_the_new_epoch_ends_a_hold(self):
        self.restore()
        self.view.apply(self.platform.remove('t3'), now_s=4.0)
        self.assertNotIn('t3', read_values(self.view))

    def test_removal_that_a_snapshot_shows_ends_a_hold(self):
        # An entry whose watch was cut learns of the removal by a snapshot.
        self.restore()
        self.platform.remove('t1')
        self.view.apply(self.platform.read(), now_s=1.5)
        self.view.expire(now_s=99.0)
        self.assertNotIn('t1', read_values(self.view))

    def test_values_written_again_with_their_revisions_stay(self):
        # The restored platform gives the same numbers out again.
        self.restore()
        for key, version in self.accepted.items():
            self.platform.write(key, version)
        self.platform.remove('t1')
        self.view.apply(self.platform.read(), now_s=1.5)
        self.view.expire(now_s=99.0)
        self.assertEqual(self.accepted, read_values(self.view))

    def test_reading_of_an_earlier_epoch_has_no_effect(self):
        earlier_reading = self.platform.read()
        self.restore()
        self.platform.write(CONFIG, 15)
        self.view.apply(self.platform.read(), now_s=1.5)
        self.assertFalse(self.view.apply(earlier_reading, now_s=2.0))
        self.assertEqual(15, read_values(self.view)[CONFIG])

    def test_second_drill_keeps_accepted_state(self):
        self.restore()
        self.restore(now_s=2.0)
        self.assertEqual(self.accepted, read_values(self.view))
        self.view.expire(now_s=2.0 + LEASED_S - 0.1)
        self.assertEqual(self.accepted, read_values(self.view))


class PeerViewTests(RestoreCase):
    def setUp(self):
        super().setUp()
        self.peer = build_view()

    def copy_view(self, *, now_s):
        self.peer.apply(self.view.take_snapshot(now_s=now_s), now_s=now_s)

    def test_new_view_adopts_what_a_peer_keeps(self):
        self.restore()
        self.copy_view(now_s=1.1)
        self.assertEqual(self.accepted, read_values(self.peer))
        self.platform.write('t4', 1)
        self.peer.apply(self.platform.read(), now_s=1.2)
        self.assertEqual(self.accepted | {'t4': 1}, read_values(self.peer))

    def test_view_that_read_the_copy_adopts_what_a_peer_keeps(self):
        self.restore()
        self.platform.write('t4', 1)
        self.peer.apply(self.platform.read(), now_s=1.1)
        self.copy_view(now_s=1.2)
        self.assertEqual(self.accepted | {'t4': 1}, read_values(self.peer))

    def test_adopted_holds_end_with_those_of_the_peer(self):
        self.restore()
        self.copy_view(now_s=2.0)
        self.peer.expire(now_s=1.0 + LEASED_S)
        self.assertNotIn('t3', read_values(self.peer))

    def test_view_of_an_earlier_epoch_takes_over_a_newer_one(self):
        self.peer.apply(self.platform.read(), now_s=0.5)
        self.restore()
        self.view.apply(self.platform.write(CONFIG, 15), now_s=1.5)
        self.copy_view(now_s=2.0)
        self.assertEqual(self.view.as_of, self.peer.as_of)
        self.assertEqual(15, read_values(self.peer)[CONFIG])

    def test_known_removal_is_not_undone_by_a_peer_that_missed_it(self):
        # The peer holds t4, which the restored platform lacks.
        self.peer.apply(self.platform.read(), now_s=0.5)
        self.platform.write('t4', 1)
        self.peer.apply(self.platform.read(), now_s=0.6)
        self.view.apply(self.platform.read(), now_s=0.6)
        self.view.apply(self.platform.remove('t4'), now_s=0.7)
        self.restore()
        self.peer.apply(self.platform.read(), now_s=1.0)
        self.assertIn('t4', read_values(self.peer))
        self.view.apply(self.peer.take_snapshot(now_s=1.1), now_s=1.1)
        self.assertNotIn('t4', read_values(self.view))

    def test_held_value_that_was_removed_since_is_not_adopted(self):
        self.restore()
        snapshot = self.view.take_snapshot(now_s=1.1)
        self.peer.apply(snapshot, now_s=1.1)
        self.peer.apply(self.platform.remove('t3'), now_s=3.5)
        self.peer.apply(snapshot, now_s=3.6)
        self.assertNotIn('t3', read_values(self.peer))


STEPS = strategies.one_of(
    strategies.tuples(strategies.just('configure'), strategies.just(0)),
    strategies.tuples(strategies.just('write'), strategies.integers(1, 3)),
    strategies.tuples(strategies.just('remove'), strategies.integers(1, 3)),
    strategies.tuples(strategies.just('copy'), strategies.just(0)),
    strategies.tuples(strategies.just('restore'), strategies.just(0)),
    strategies.tuples(strategies.just('read'), strategies.integers(0, 2)),
    strategies.tuples(strategies.just('replay'), strategies.integers(0, 8)),
    strategies.tuples(strategies.just('exchange'), strategies.integers(0, 8)),
)


class RandomOrderTests(unittest.TestCase):
    """Compare views with a naive model under readings in random order.

    The model knows the newest revision and configuration version that each
    view was given. At the end, all holds expire.
    """

    @hypothesis.given(steps=strategies.lists(STEPS, max_size=40))
    @PROFILE
    def test_epochs_and_versions_never_fall(self, steps):
        platform = Platform()
        platform.write(CONFIG, 1)
        views = [build_view() for _ in range(3)]
        newest_revisions = [models.NO_REVISION] * 3
        newest_versions = [0] * 3
        version, copy, readings, now_s = 1, platform.copy(), [], 0.0

        def apply(number, reading):
            views[number].apply(reading, now_s=now_s)
            newest_revisions[number] = max(
                newest_revisions[number], reading.as_of
            )
            if reading.as_of == newest_revisions[number]:
                newest_versions[number] = max(
                    [newest_versions[number]]
                    + [
                        int(item.value)
                        for item in reading.items
                        if item.key == CONFIG
                    ]
                )
            self.assertEqual(newest_revisions[number], views[number].as_of)
            self.assertGreaterEqual(
                read_values(views[number]).get(CONFIG, 0),
                newest_versions[number],
            )

        for name, argument in steps:
            now_s += 0.3
            version += 1
            if name == 'configure':
                platform.write(CONFIG, version)
            elif name == 'write':
                platform.write(f't{argument}', version)
            elif name == 'remove':
                platform.remove(f't{argument}')
            elif name == 'copy':
                copy = platform.copy()
            elif name == 'restore':
                platform.restore(copy)
            elif name == 'read':
                readings.append(platform.read())
                apply(argument, readings[-1])
            elif name == 'replay' and readings:
                apply(argument % 3, readings[argument % len(readings)])
            elif name == 'exchange':
                sender = views[argument // 3]
                if sender.as_of != models.NO_REVISION:
                    apply(argument % 3, sender.take_snapshot(now_s=now_s))

        platform.write(CONFIG, version + 1)
        expected = {
            key: int(item.value) for key, item in platform.items_by_key.items()
        }
        for number in range(3):
            apply(number, platform.read())
            views[number].expire(now_s=now_s + UNVERSIONED_S)
            self.assertEqual(expected, read_values(views[number]))


class MutationTests(unittest.TestCase):
    """Check that the tests reveal views that lose what they accepted."""

    def assert_caught(self, test, owner, name, mutant):
        with mock.patch.object(owner, name, mutant):
            result = test.run()
        self.assertFalse(result.wasSuccessful())

    def test_trusting_the_restored_platform(self):
        self.assert_caught(
            RestoredViewTests('test_accepted_state_is_kept'),
            holds.ItemOrder,
            'is_older',
            lambda self, item, other: False,
        )

    def test_holding_the_configuration_for_a_limited_time(self):
        self.assert_caught(
            RestoredViewTests(
                'test_held_state_ends_except_for_the_configuration'
            ),
            holds.ItemOrder,
            'never_reverts',
            lambda self, item: False,
        )

    def test_forgetting_removals(self):
        self.assert_caught(
            RestoredViewTests('test_accepted_state_is_kept'),
            holds.Removals,
            'find',
            lambda self, key: None,
        )

    def test_ignoring_the_epoch(self):
        self.assert_caught(
            RandomOrderTests('test_epochs_and_versions_never_fall'),
            models.Revision,
            '__lt__',
            lambda self, other: self.number < other.number,
        )
