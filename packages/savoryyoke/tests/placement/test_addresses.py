"""Test which targets still have their address."""

import unittest

from savoryyoke.placement import addresses

from tests.placement import test_dispatcher


def build(name, *, revision, number=1):
    """Return the target ``name`` at the address of ``number``."""
    return test_dispatcher.build_target(
        number, target_id=name, revision=revision
    )


class DropReplacedTests(unittest.TestCase):
    def test_targets_at_addresses_of_their_own_stay(self):
        targets = (
            build('a', revision=5),
            build('b', revision=3, number=2),
        )
        self.assertEqual(targets, addresses.drop_replaced(targets))

    def test_newest_entry_of_an_address_stays(self):
        old, new = build('a', revision=5), build('b', revision=9)
        self.assertEqual((new,), addresses.drop_replaced((old, new)))
        self.assertEqual((new,), addresses.drop_replaced((new, old)))

    def test_address_may_go_to_another_service(self):
        old = build('a', revision=5)
        new = test_dispatcher.build_target(
            1, target_id='b', service_name='other', revision=9
        )
        self.assertEqual((new,), addresses.drop_replaced((old, new)))
