"""Test that the view of published values applies only newer revisions."""

import unittest

from savoryyoke.published import conf
from savoryyoke.published import holds
from savoryyoke.published import models
from savoryyoke.published import view


def build_revision(number):
    return models.Revision(number=number)


def build_item(key, revision):
    return models.Item(
        key=key, revision=build_revision(revision), value=b'%d' % revision
    )


def build_view():
    """Return a view whose leased items have no versions."""
    order = holds.ItemOrder(
        is_leased=lambda key: key != 'config',
        read_version=lambda item: None,
        hold_times=holds.HoldTimes(leased_s=3.6, unversioned_s=10.0),
    )
    return view.PublishedView(order=order)


def build_snapshot(as_of, **revisions_by_key):
    items = tuple(
        build_item(key, revision) for key, revision in revisions_by_key.items()
    )
    return models.Snapshot(as_of=build_revision(as_of), items=items)


def build_changes(as_of, *removed_keys, **revisions_by_key):
    removals = (
        models.Removal(key=key, revision=build_revision(as_of))
        for key in removed_keys
    )
    items = (
        build_item(key, revision) for key, revision in revisions_by_key.items()
    )
    return models.Changes(
        as_of=build_revision(as_of), events=(*removals, *items)
    )


class PublishedViewTests(unittest.TestCase):
    def setUp(self):
        self.view = build_view()
        self.view.apply(build_snapshot(5, config=3, t1=4, t2=5), now_s=0.0)

    def keys(self):
        return set(self.view.items_by_key)

    def test_changes_are_applied(self):
        changed = self.view.apply(
            build_changes(7, 't1', t3=6, t2=7), now_s=1.0
        )
        self.assertTrue(changed)
        self.assertEqual({'config', 't2', 't3'}, self.keys())
        self.assertEqual(b'7', self.view.items_by_key['t2'].value)

    def test_older_reading_has_no_effect(self):
        self.assertFalse(
            self.view.apply(build_snapshot(4, config=2), now_s=1.0)
        )
        self.assertEqual(
            build_revision(3), self.view.items_by_key['config'].revision
        )
        self.assertEqual({'config', 't1', 't2'}, self.keys())
        self.assertEqual(build_revision(5), self.view.as_of)

    def test_older_item_in_a_newer_reading_has_no_effect(self):
        self.view.apply(build_snapshot(9, config=2, t1=4, t2=5), now_s=1.0)
        self.assertEqual(
            build_revision(3), self.view.items_by_key['config'].revision
        )

    def test_item_newer_than_a_snapshot_that_lacks_it_stays(self):
        """Check that a target that has just registered is not lost.

        The pages of a snapshot are read one after the other. An item that was
        written meanwhile is on a later page, with a revision above that of
        the snapshot. A peer's snapshot that was read earlier lacks it, which
        is no removal.
        """
        # The first page was read at revision 6, the page with t3 after 8.
        self.view.apply(
            build_snapshot(6, config=3, t1=4, t2=5, t3=8), now_s=1.0
        )
        changed = self.view.apply(
            build_snapshot(7, config=3, t1=4, t2=5), now_s=2.0
        )
        self.assertFalse(changed)
        self.assertEqual({'config', 't1', 't2', 't3'}, self.keys())
        # A snapshot as new as the item knows whether it was removed.
        self.view.apply(build_snapshot(8, config=3, t1=4, t2=5), now_s=3.0)
        self.assertEqual({'config', 't1', 't2'}, self.keys())

    def test_empty_changes_renew_the_age(self):
        self.assertFalse(self.view.apply(build_changes(5), now_s=3.0))
        self.assertEqual(1.0, self.view.age_s(now_s=4.0))

    def test_snapshot_removes_items_that_it_lacks(self):
        self.view.apply(build_snapshot(6, config=3, t2=5), now_s=1.0)
        self.assertEqual({'config', 't2'}, self.keys())


class EventOrderTests(unittest.TestCase):
    """Apply several events of a key that come within one reading."""

    def setUp(self):
        self.view = build_view()
        self.view.apply(build_snapshot(5, config=3, t1=4), now_s=0.0)

    def apply(self, *events):
        self.view.apply(
            models.Changes(as_of=build_revision(9), events=events), now_s=1.0
        )
        return set(self.view.items_by_key)

    def test_item_that_is_written_and_removed_is_absent(self):
        removal = models.Removal(key='t1', revision=build_revision(8))
        self.assertEqual({'config'}, self.apply(build_item('t1', 7), removal))

    def test_item_that_is_removed_and_written_is_present(self):
        removal = models.Removal(key='t1', revision=build_revision(7))
        self.assertEqual(
            {'config', 't1'}, self.apply(removal, build_item('t1', 8))
        )

    def test_events_that_a_copied_view_knows_have_no_effect(self):
        # The read began before the copy: t2 was written and removed since.
        self.view.apply(
            build_snapshot(8, config=3, t1=4), now_s=0.5, after_outage=True
        )
        written = build_item('t2', 6)
        removal = models.Removal(key='t2', revision=build_revision(7))
        self.assertEqual({'config', 't1'}, self.apply(written, removal))

    def test_removal_before_a_write_that_is_known_has_no_effect(self):
        removal = models.Removal(key='t1', revision=build_revision(3))
        self.assertEqual({'config', 't1'}, self.apply(removal))


class LeaseExpiryTests(unittest.TestCase):
    def setUp(self):
        self.view = build_view()
        self.view.apply(build_snapshot(5, config=3, t1=4, t2=5), now_s=0.0)

    def recover(self):
        """Apply the first snapshot after an outage; both leases expired."""
        self.view.apply(
            build_snapshot(8, config=3), now_s=10.0, after_outage=True
        )

    def test_items_with_expired_leases_are_kept_for_the_grace_period(self):
        self.recover()
        self.assertIn('t1', self.view.items_by_key)
        self.assertFalse(self.view.expire(now_s=11.9))

    def test_items_still_missing_after_the_grace_period_are_removed(self):
        self.recover()
        self.assertTrue(self.view.expire(now_s=10.0 + conf.LEASE_GRACE_S))
        self.assertEqual({'config'}, set(self.view.items_by_key))

    def test_item_that_is_published_again_stays(self):
        self.recover()
        self.view.apply(build_changes(9, t1=9), now_s=11.0)
        self.view.expire(now_s=12.5)
        self.assertEqual({'config', 't1'}, set(self.view.items_by_key))

    def test_removal_during_the_grace_period_is_delayed(self):
        self.view.apply(
            build_snapshot(6, config=3, t1=4, t2=5),
            now_s=10.0,
            after_outage=True,
        )
        self.view.apply(build_changes(7, 't1'), now_s=10.5)
        self.assertIn('t1', self.view.items_by_key)
        self.view.apply(build_changes(8), now_s=12.1)
        self.assertNotIn('t1', self.view.items_by_key)

    def test_removal_of_an_item_written_since_the_outage_is_immediate(self):
        self.recover()
        self.view.apply(build_changes(9, t3=9), now_s=10.5)
        self.view.apply(build_changes(10, 't3'), now_s=11.0)
        self.assertNotIn('t3', self.view.items_by_key)

    def test_grace_period_lasts_while_the_platform_is_away_again(self):
        self.recover()
        self.view.begin_outage()
        self.assertFalse(self.view.expire(now_s=15.0))
        self.assertIn('t1', self.view.items_by_key)
        self.view.apply(
            build_snapshot(9, config=3), now_s=16.0, after_outage=True
        )
        self.assertIn('t1', self.view.items_by_key)
        self.view.expire(now_s=16.0 + conf.LEASE_GRACE_S)
        self.assertNotIn('t1', self.view.items_by_key)

    def test_outage_ends_with_a_reading_that_is_older_than_a_copy(self):
        # A peer's view was copied while the platform was being read.
        self.recover()
        self.view.begin_outage()
        self.view.apply(build_snapshot(9, config=3), now_s=11.0)
        self.view.apply(
            build_snapshot(8, config=3), now_s=11.1, after_outage=True
        )
        self.view.expire(now_s=11.1 + conf.LEASE_GRACE_S)
        self.assertEqual({'config'}, set(self.view.items_by_key))

    def test_removal_after_the_grace_period_is_immediate(self):
        self.recover()
        self.view.apply(build_changes(9, t1=9, t2=9), now_s=11.0)
        self.view.apply(build_changes(10, 't1'), now_s=13.0)
        self.assertNotIn('t1', self.view.items_by_key)

    def test_copied_items_expire_with_those_of_the_peer(self):
        self.recover()
        copy = build_view()
        copy.apply(self.view.take_snapshot(now_s=11.0), now_s=11.0)
        self.assertIn('t1', copy.items_by_key)
        copy.expire(now_s=10.0 + conf.LEASE_GRACE_S)
        self.assertEqual({'config'}, set(copy.items_by_key))

    def test_peer_in_the_grace_period_brings_no_removed_item_back(self):
        reader = build_view()
        reader.apply(build_snapshot(5, config=3, t1=4, t2=5), now_s=0.0)
        reader.apply(build_changes(7, 't1', 't2'), now_s=9.0)
        self.recover()
        reader.apply(self.view.take_snapshot(now_s=10.1), now_s=10.1)
        self.assertEqual({'config'}, set(reader.items_by_key))

    def test_removal_that_a_peer_reports_in_its_grace_period_is_immediate(
        self,
    ):
        # The reader has had no outage, so the platform was there all along.
        reader = build_view()
        reader.apply(build_snapshot(5, config=3, t1=4, t2=5), now_s=0.0)
        self.recover()
        reader.apply(self.view.take_snapshot(now_s=10.1), now_s=10.1)
        self.assertEqual({'config'}, set(reader.items_by_key))

    def test_items_that_lapse_at_a_peer_are_kept_in_an_outage(self):
        reader = build_view()
        reader.apply(build_snapshot(5, config=3, t1=4, t2=5), now_s=0.0)
        reader.begin_outage()
        self.recover()
        reader.apply(self.view.take_snapshot(now_s=10.1), now_s=10.1)
        self.assertIn('t1', reader.items_by_key)

    def test_items_that_lapse_in_a_second_outage_are_copied(self):
        # The grace period after the first outage is over.
        self.recover()
        self.view.begin_outage()
        reader = build_view()
        reader.apply(build_snapshot(5, config=3, t1=4, t2=5), now_s=0.0)
        reader.begin_outage()
        reader.apply(self.view.take_snapshot(now_s=15.0), now_s=15.0)
        self.assertIn('t1', reader.items_by_key)

    def test_removal_of_an_item_without_lease_is_immediate(self):
        self.view.apply(
            build_snapshot(8, t1=4, t2=5), now_s=10.0, after_outage=True
        )
        self.assertNotIn('config', self.view.items_by_key)
