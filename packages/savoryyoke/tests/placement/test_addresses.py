"""Test the removal of targets whose address was reassigned."""

import unittest

from savoryyoke.placement import addresses
from savoryyoke.published import models

from tests.placement import test_dispatcher


def build(name, *, revision, epoch=0, number=1, **changes):
    """Return a target called ``name`` at the address with ``number``."""
    return test_dispatcher.build_target(
        number,
        target_id=name,
        revision=models.Revision(epoch=epoch, number=revision),
        **changes,
    )


class DropReplacedTests(unittest.TestCase):
    def test_targets_with_different_addresses_stay(self):
        targets = (
            build('a', revision=5),
            build('b', revision=3, number=2),
        )
        self.assertEqual(targets, addresses.drop_replaced(targets))

    def test_only_newest_target_of_an_address_stays(self):
        older, newer = build('a', revision=5), build('b', revision=9)
        self.assertEqual((newer,), addresses.drop_replaced((older, newer)))
        self.assertEqual((newer,), addresses.drop_replaced((newer, older)))

    def test_address_may_be_reassigned_to_another_service(self):
        older = build('a', revision=5)
        newer = build('b', revision=9, service_name='other')
        self.assertEqual((newer,), addresses.drop_replaced((older, newer)))

    def test_target_of_a_newer_epoch_stays(self):
        older, newer = build('a', revision=9), build('b', revision=5, epoch=1)
        self.assertEqual((newer,), addresses.drop_replaced((older, newer)))
