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
            build_directive(
                phase=models.Phase.PREPARE,
                version=70000,
                expert_map=models.ExpertMap(
                    version=70000, experts=(((0, 1), (2,)), ((2,), (1, 0)))
                ),
            )
        )

    def test_held_experts(self):
        self.assert_kept(
            group.HeldReport(
                group='g',
                rank=4,
                held=models.RankMap(version=70000, experts=((0, 251), (3,))),
            )
        )

    def test_counts(self):
        self.assert_kept(
            group.CountsReport(group='g', rank=4, counts=(0, 2**31, 7))
        )

    def test_cut_datagrams_are_refused(self):
        packed = group.encode(build_directive())
        for length in range(len(packed)):
            with self.subTest(length=length):
                with self.assertRaises(exceptions.WireError):
                    group.decode(packed[:length])
