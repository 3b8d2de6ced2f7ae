"""Test what the agents of a group tell each other."""

import unittest

from savoryyoke.groups.rollout import models

from savoryyoke_wire import exceptions
from savoryyoke_wire import group

TERM = models.Term(number=3, rank=1)


def build_directive(**changes):
    """Return a directive with ``changes``."""
    fields = {
        'group': 'g',
        'epoch': 2,
        'term': TERM,
        'sequence': 9,
        'leader_host': '10.0.0.1',
        'phase': models.Phase.IDLE,
    }
    return models.Directive(**(fields | changes))


class GroupMessageTests(unittest.TestCase):
    def assert_kept(self, message):
        """Check that a message survives its way over the wire."""
        self.assertEqual(message, group.decode(group.encode(message)))

    def test_directives(self):
        self.assert_kept(build_directive())
        self.assert_kept(build_directive(wants_experts=True))
        self.assert_kept(
            build_directive(phase=models.Phase.PREPARE, version=70000)
        )

    def test_maps(self):
        expert_map = models.ExpertMap(
            version=70000, experts=(((0, 1), (2,)), ((2,), (1, 0)))
        )
        self.assert_kept(group.MapContent(group='g', expert_map=expert_map))
        self.assert_kept(
            group.MapRequest(group='g', version=70000, host='10.0.0.2')
        )

    def test_map_of_the_largest_group_fits_a_datagram(self):
        experts = tuple(
            tuple(
                tuple((31 * rank + 7 * place) % 252 for place in range(5))
                for rank in range(63)
            )
            for _ in range(8)
        )
        expert_map = models.ExpertMap(version=2**40, experts=experts)
        self.assert_kept(group.MapContent(group='g', expert_map=expert_map))

    def test_held_experts(self):
        self.assert_kept(
            group.HeldReport(
                group='g',
                rank=4,
                held=models.RankMap(version=70000, experts=((0, 251), (3,))),
            )
        )

    def test_choices(self):
        self.assert_kept(
            group.ChoicesReport(group='g', rank=4, choices=(0, 2**31, 7))
        )

    def test_choices_of_the_largest_block_fit_a_datagram(self):
        choices = tuple((997 * x) % 60000 for x in range(8 * 252))
        self.assert_kept(
            group.ChoicesReport(group='g', rank=4, choices=choices)
        )

    def test_cut_datagrams_are_refused(self):
        packed = group.encode(build_directive())
        for length in range(len(packed)):
            with self.subTest(length=length):
                with self.assertRaises(exceptions.WireError):
                    group.decode(packed[:length])
