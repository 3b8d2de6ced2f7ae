"""Test the blocks through which large groups forward messages."""

import unittest

from savoryyoke.groups.rollout import blocks
from savoryyoke.groups.rollout import conf

GROWN_RANKS = 63


class BlockTests(unittest.TestCase):
    def test_each_rank_is_reached_once(self):
        for ranks in (1, 2, conf.SMALL_GROUP_MAX_RANKS, 17, GROWN_RANKS, 300):
            with self.subTest(ranks=ranks):
                heads = list(blocks.find_heads(ranks))
                reached = heads + [
                    rank
                    for head in heads
                    for rank in blocks.find_other_members(head, ranks)
                ]
                self.assertEqual(list(range(ranks)), sorted(reached))

    def test_heads_are_those_of_their_blocks(self):
        for head in blocks.find_heads(GROWN_RANKS):
            self.assertEqual(head, blocks.find_head(head, GROWN_RANKS))
            for rank in blocks.find_other_members(head, GROWN_RANKS):
                self.assertEqual(head, blocks.find_head(rank, GROWN_RANKS))

    def test_each_rank_of_a_small_group_is_its_own_block(self):
        for rank in range(conf.SMALL_GROUP_MAX_RANKS):
            self.assertEqual(
                rank, blocks.find_head(rank, conf.SMALL_GROUP_MAX_RANKS)
            )

    def test_messages_of_one_vm_grow_with_the_square_root(self):
        for ranks in (GROWN_RANKS, 300, 1000):
            with self.subTest(ranks=ranks):
                heads = blocks.find_heads(ranks)
                largest_block = max(
                    len(blocks.find_other_members(head, ranks))
                    for head in heads
                )
                self.assertLess(len(heads) + largest_block, 3 * ranks**0.5)
