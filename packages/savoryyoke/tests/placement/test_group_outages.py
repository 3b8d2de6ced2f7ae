"""Test the placement of requests while a group of engines is out of service.

All ranks of a group run each step together, so none can serve without the
others.
"""

import dataclasses

from savoryyoke.placement import conf
from savoryyoke.placement import decisions
from savoryyoke.placement import models

from tests.placement import test_dispatcher

RANKS = 6
TIME_LEFT_S = 8.0


def build_rank(rank):
    """Return the published target of a rank."""
    return test_dispatcher.build_target(
        rank, slots=4, group='g', group_epoch=1, group_rank=rank
    )


class GroupCase(test_dispatcher.DispatcherCase):
    """Give tests a dispatcher with a group in service."""

    def setUp(self):
        self.build(is_engine=True)
        self.ranks = [build_rank(rank) for rank in range(RANKS)]
        self.publish_ranks()

    def publish_ranks(self, *, now_s=0.0):
        return self.publish(*self.ranks, now_s=now_s)

    def change(self, ranks, **changes):
        """Change the published targets of some ranks."""
        for rank in ranks:
            self.ranks[rank] = dataclasses.replace(self.ranks[rank], **changes)

    def arrive(self, request_id='r', now_s=0.0, **changes):
        fields = {'wait_until_s': now_s + 1.1, 'time_left_s': TIME_LEFT_S}
        return super().arrive(request_id, now_s, **(fields | changes))

    def assert_outage(self, decided):
        """Check that a request is refused until an outage may be over."""
        (decision,) = decided
        self.assertIsInstance(decision, decisions.Refuse)
        self.assertIs(models.RefusalReason.NO_TARGET, decision.reason)
        self.assertGreaterEqual(
            decision.retry_after_s,
            conf.OUTAGE_RETRY_AFTER_MIN_SHARE
            * TIME_LEFT_S
            * conf.RETRY_AFTER_MAX_SHARE,
        )

    def assert_placed(self, decided):
        self.assertTrue(decided)
        for decision in decided:
            self.assertIsInstance(decision, decisions.Place)


class PublishedOutageTests(GroupCase):
    def test_group_with_one_broken_rank_gets_no_requests(self):
        self.change([2], is_in_service=False)
        self.publish_ranks()
        self.assert_outage(self.arrive())

    def test_ranks_that_publish_nothing_new_get_no_requests(self):
        # These ranks are cut off from the platform.
        cut_off = {4, 5}
        self.change(set(range(RANKS)) - cut_off, is_in_service=False)
        self.publish_ranks()
        self.assert_outage(self.arrive())

    def test_queued_request_is_placed_once_the_group_is_back(self):
        self.change([2], is_in_service=False)
        self.publish_ranks()
        self.assertEqual((), self.arrive(is_on_time=False))
        self.change([0], group_epoch=2)
        self.assert_placed(self.publish_ranks(now_s=0.5))

    def test_first_rank_of_a_new_epoch_shows_that_the_group_is_back(self):
        self.change(range(RANKS), is_in_service=False)
        self.change([3], is_in_service=True, group_epoch=2)
        self.publish_ranks()
        placed = [
            decision.target.target_id
            for number in range(RANKS)
            for decision in self.arrive(f'r{number}')
        ]
        self.assertEqual({f't{rank}' for rank in range(RANKS)}, set(placed))

    def test_other_groups_and_targets_without_a_group_are_used(self):
        self.change([4], group='h')
        self.change([5], group='', group_epoch=0)
        self.change([0], is_in_service=False)
        self.publish_ranks()
        placed = {
            decision.target.target_id
            for number in range(6)
            for decision in self.arrive(f'r{number}')
        }
        self.assertEqual({'t4', 't5'}, placed)
