"""Test the removal of targets whose address was reassigned."""

import unittest

from savoryyoke.placement import addresses

from tests.placement import test_dispatcher


def build(name, *, revision, number=1):
    """Return a target called ``name`` at the address with ``number``."""
    return test_dispatcher.build_target(
        number, target_id=name, revision=revision
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
        newer = test_dispatcher.build_target(
            1, target_id='b', service_name='other', revision=9
        )
        self.assertEqual((newer,), addresses.drop_replaced((older, newer)))
