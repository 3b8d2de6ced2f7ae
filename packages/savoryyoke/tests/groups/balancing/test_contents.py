"""Test the stored maps of a group."""

import dataclasses
import unittest

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import contents
from savoryyoke.groups.balancing import planner
from savoryyoke.groups.rollout import models

RANKS = 3
VERSION = 7
# By set, rank and slot.
EXPERTS = (((0, 3), (1, 4), (2, 5, 0)), ((5,), (4, 3), (0, 1, 2)))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    sets: int = 2
    experts: int = 6


def make_rank_map(rank, *, version=VERSION):
    """Return the experts of a rank in the map ``EXPERTS``."""
    return models.RankMap(
        version=version,
        experts=tuple(experts_by_rank[rank] for experts_by_rank in EXPERTS),
    )


class MapContentsTests(unittest.TestCase):
    def setUp(self):
        self.contents = contents.MapContents()
        self.contents.set_shape(Shape())

    def test_initial_map_needs_no_report(self):
        self.assertTrue(self.contents.has_map(0))
        self.assertEqual(
            planner.make_initial_map(sets=2, ranks=RANKS, experts=6),
            self.contents.find_experts(0, ranks=RANKS),
        )

    def test_map_is_collected_from_all_ranks(self):
        for rank in (2, 0):
            self.contents.add_rank_map(rank, make_rank_map(rank), ranks=RANKS)
            self.assertFalse(self.contents.has_map(VERSION))
        self.contents.add_rank_map(1, make_rank_map(1), ranks=RANKS)
        self.assertTrue(self.contents.has_map(VERSION))
        self.assertEqual(
            EXPERTS, self.contents.find_experts(VERSION, ranks=RANKS)
        )

    def test_reports_of_two_versions_are_not_mixed(self):
        self.contents.add_rank_map(0, make_rank_map(0, version=6), ranks=RANKS)
        for rank in (1, 2):
            self.contents.add_rank_map(rank, make_rank_map(rank), ranks=RANKS)
        self.assertFalse(self.contents.has_map(VERSION))
        self.assertFalse(self.contents.has_map(6))
        self.contents.add_rank_map(0, make_rank_map(0), ranks=RANKS)
        self.assertTrue(self.contents.has_map(VERSION))

    def test_report_with_another_number_of_sets_is_ignored(self):
        for rank in range(RANKS):
            mismatched = models.RankMap(version=VERSION, experts=((0, 1),))
            self.contents.add_rank_map(rank, mismatched, ranks=RANKS)
        for rank in (0, 1):
            self.contents.add_rank_map(rank, make_rank_map(rank), ranks=RANKS)
        mismatched = models.RankMap(version=VERSION, experts=((0, 1),))
        self.contents.add_rank_map(2, mismatched, ranks=RANKS)
        self.assertFalse(self.contents.has_map(VERSION))

    def test_only_the_latest_maps_are_stored(self):
        versions = range(1, conf.MAX_STORED_MAPS + 2)
        for version in versions:
            self.contents.add_map(
                models.ExpertMap(version=version, experts=EXPERTS)
            )
        stored_versions = [
            version for version in versions if self.contents.has_map(version)
        ]
        self.assertEqual(list(versions)[1:], stored_versions)

    def test_new_shape_discards_all_maps(self):
        self.contents.add_map(
            models.ExpertMap(version=VERSION, experts=EXPERTS)
        )
        self.contents.set_shape(Shape(experts=12))
        self.assertFalse(self.contents.has_map(VERSION))


class MapChangeTests(unittest.TestCase):
    """Send a map as its changes to a map that the receiver has."""

    NEW_EXPERTS = (((0, 3), (1, 5), (2, 4, 0)), EXPERTS[1])

    def setUp(self):
        self.sender = contents.MapContents()
        self.receiver = contents.MapContents()
        for map_contents in (self.sender, self.receiver):
            map_contents.set_shape(Shape())
            map_contents.add_map(
                models.ExpertMap(version=VERSION, experts=EXPERTS)
            )
        self.new_map = models.ExpertMap(version=9, experts=self.NEW_EXPERTS)

    def test_change_holds_only_what_differs(self):
        change = self.sender.find_change(
            self.new_map, base_version=VERSION, ranks=RANKS
        )
        self.assertEqual(
            ({1: (1, 5), 2: (2, 4, 0)}, {}), change.experts_by_rank_by_set
        )

    def test_receiver_restores_the_map_from_each_base(self):
        for base_version in (0, VERSION):
            change = self.sender.find_change(
                self.new_map, base_version=base_version, ranks=RANKS
            )
            self.assertEqual(
                self.new_map, self.receiver.add_change(change, ranks=RANKS)
            )
            self.assertEqual(self.new_map, self.receiver.find_map(9))

    def test_without_the_earlier_map_there_is_no_change(self):
        self.assertIsNone(
            self.sender.find_change(self.new_map, base_version=5, ranks=RANKS)
        )

    def test_unusable_changes_are_not_stored(self):
        for base_version, changed_sets in (
            (5, ({0: (1,)}, {})),
            (VERSION, ({}, {}, {0: (1,)})),
            (VERSION, ({RANKS: (1,)}, {})),
        ):
            change = models.MapChange(
                version=9,
                base_version=base_version,
                experts_by_rank_by_set=changed_sets,
            )
            self.assertIsNone(self.receiver.add_change(change, ranks=RANKS))
            self.assertIsNone(self.receiver.find_map(9))
