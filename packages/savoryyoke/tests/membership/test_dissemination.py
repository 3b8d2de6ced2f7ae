"""Test which updates the next messages carry."""

import unittest

from savoryyoke.membership import dissemination
from savoryyoke.membership import messages

MemberState = messages.MemberState


def update(number, state):
    """Return an update of one member."""
    return messages.MemberUpdate(
        vm_id=f'vm-{number}', incarnation=1, refutation=0, state=state
    )


class UpdateQueueTest(unittest.TestCase):
    """Test the order and the limits of the queue."""

    def setUp(self):
        self.queue = dissemination.UpdateQueue(limit_bytes=100)

    def take(self):
        """Return the identifiers of the updates in the next message."""
        return [item.vm_id for item in self.queue.take()]

    def test_alive_updates_precede_suspicions(self):
        self.queue.add(update(1, MemberState.ALIVE), transmissions=1)
        for number in range(2, 6):
            suspicion = update(number, MemberState.SUSPECT)
            self.queue.add(suspicion, transmissions=1)
        self.assertEqual(self.take(), ['vm-1', 'vm-5'])

    def test_updates_repeated_by_others_are_postponed(self):
        for number in range(1, 4):
            suspicion = update(number, MemberState.SUSPECT)
            self.queue.add(suspicion, transmissions=2)
        self.queue.postpone(update(3, MemberState.SUSPECT))
        self.assertEqual(self.take(), ['vm-2', 'vm-1'])
        self.assertEqual(self.take(), ['vm-3', 'vm-2'])

    def test_each_update_is_sent_a_bounded_number_of_times(self):
        self.queue.add(update(1, MemberState.SUSPECT), transmissions=3)
        self.queue.add(update(1, MemberState.FAILED), transmissions=1)
        sent = [self.take() for _ in range(5)]
        self.assertEqual(sent, [['vm-1']] * 3 + [[]] * 2)
