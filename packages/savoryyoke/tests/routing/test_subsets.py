"""Test which entries connect to which targets."""

import collections
import unittest

from savoryyoke.routing import conf
from savoryyoke.routing import subsets

ENTRIES = 350
TARGETS = 1300
DATA_CENTRES = 6


def select_all(*, entries, targets=range(TARGETS)):
    """Return the set of (entry, target) connections."""
    table = subsets.EntryTable(
        data_centres_by_entry_id={
            f'entry-{number}': f'dc-{number % DATA_CENTRES}'
            for number in entries
        }
    )
    settings = conf.RoutingSettings()
    count = subsets.count_connected_entries(
        entries=len(entries), targets=len(targets), settings=settings
    )
    pairs = set()
    for number in targets:
        entry_ids = table.select_connected_entries(
            target_id=f'target-{number}',
            data_centre=f'dc-{number % DATA_CENTRES}',
            count=count,
            near_share=settings.near_share,
        )
        pairs.update((entry_id, number) for entry_id in entry_ids)
    return pairs


class SubsetTest(unittest.TestCase):
    """Check balance and churn of connections in a large fleet."""

    def test_every_target_has_the_same_number_of_entries(self):
        """Give each target 11 entries, and each entry 20 to 70 targets."""
        pairs = select_all(entries=range(ENTRIES))
        by_target = collections.Counter(number for _, number in pairs)
        by_entry = collections.Counter(entry_id for entry_id, _ in pairs)
        self.assertEqual({11}, set(by_target.values()))
        self.assertEqual(TARGETS, len(by_target))
        self.assertEqual(ENTRIES, len(by_entry))
        self.assertGreaterEqual(min(by_entry.values()), 20)
        self.assertLessEqual(max(by_entry.values()), 70)

    def test_half_of_the_entries_are_near(self):
        """Connect each target to its own data centre and to others."""
        pairs = select_all(entries=range(ENTRIES))
        near = collections.Counter(
            number
            for entry_id, number in pairs
            if (int(entry_id[6:]) - number) % DATA_CENTRES == 0
        )
        self.assertGreaterEqual(min(near.values()), 6)
        self.assertLess(max(near.values()), 11)

    def test_one_entry_moves_only_its_own_connections(self):
        """Change only the connections of an entry that leaves."""
        before = select_all(entries=range(ENTRIES))
        after = select_all(entries=range(ENTRIES - 1))
        leaver = f'entry-{ENTRIES - 1}'
        lost = before - after
        self.assertEqual({leaver}, {entry_id for entry_id, _ in lost})
        self.assertEqual(len(lost), len(after - before))

    def test_one_target_moves_only_its_own_connections(self):
        """Change only the connections of a target that leaves."""
        before = select_all(entries=range(ENTRIES))
        after = select_all(entries=range(ENTRIES), targets=range(TARGETS - 1))
        self.assertEqual(
            {TARGETS - 1}, {number for _, number in before ^ after}
        )
