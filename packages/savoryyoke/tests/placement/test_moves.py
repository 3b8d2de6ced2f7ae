"""Test which requests take a free slot while streams should move."""

from savoryyoke.placement import events
from savoryyoke.placement import models

from tests.placement import test_dispatcher


class MoveTests(test_dispatcher.DispatcherCase):
    """Move streams from a slow rank while all other ranks are full.

    Each pass of a group takes as long as its slowest rank, so each stream that
    stays there delays all others.
    """

    def setUp(self):
        super().setUp()
        self.publish(
            test_dispatcher.build_target(1, slots=1),
            test_dispatcher.build_target(2, slots=1),
        )
        placed = self.placed(self.arrive('first'))
        self.slow_id = placed['first']
        self.other_id = self.placed(self.arrive('second'))['second']
        self.assertEqual({}, self.placed(self.arrive('queued', priority=0)))

    def move(self, now_s=0.0, **changes):
        fields = {
            'request_id': 'first',
            'tried_target_ids': frozenset({self.slow_id}),
            'wait_until_s': now_s + 1.0,
            'time_left_s': 3.0,
        }
        return self.apply(events.MoveRequested(**(fields | changes)), now_s)

    def test_stream_is_placed_before_queued_requests(self):
        self.assertEqual((), self.move())
        decided = self.end(self.other_id, 0.1)
        self.assertEqual({'first': self.other_id}, self.placed(decided))

    def test_stream_does_not_return_to_the_target_that_it_leaves(self):
        self.move()
        decided = self.end(self.slow_id, 0.1)
        self.assertEqual({'queued': self.slow_id}, self.placed(decided))

    def test_wait_ends(self):
        self.move(wait_until_s=0.15)
        decided = self.apply(events.Ticked(), 0.15)
        self.assertEqual(
            {'first': models.RefusalReason.WAITED_TOO_LONG},
            self.refused(decided),
        )

    def test_withdrawn_move_is_not_placed(self):
        self.move()
        self.apply(events.RequestWithdrawn(request_id='first'))
        decided = self.end(self.other_id, 0.1)
        self.assertEqual({'queued': self.other_id}, self.placed(decided))
