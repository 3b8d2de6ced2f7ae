"""Test which updates ride on the next messages."""

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
    """Test order and bounds of the queue."""

    def setUp(self):
        self.queue = dissemination.UpdateQueue(limit_bytes=100)

    def take(self):
        """Return the members that the next message names."""
        return [item.vm_id for item in self.queue.take()]

    def test_statements_of_members_go_before_accusations(self):
        self.queue.add(update(1, MemberState.ALIVE), transmissions=1)
        for number in range(2, 6):
            accusation = update(number, MemberState.SUSPECT)
            self.queue.add(accusation, transmissions=1)
        self.assertEqual(self.take(), ['vm-1', 'vm-5'])

    def test_updates_that_others_repeat_wait(self):
        for number in range(1, 4):
            accusation = update(number, MemberState.SUSPECT)
            self.queue.add(accusation, transmissions=2)
        self.queue.note_repeat(update(3, MemberState.SUSPECT))
        self.assertEqual(self.take(), ['vm-2', 'vm-1'])
        self.assertEqual(self.take(), ['vm-3', 'vm-2'])

    def test_each_update_is_sent_a_bounded_number_of_times(self):
        self.queue.add(update(1, MemberState.SUSPECT), transmissions=3)
        self.queue.add(update(1, MemberState.FAILED), transmissions=1)
        sent = [self.take() for _ in range(5)]
        self.assertEqual(sent, [['vm-1']] * 3 + [[]] * 2)
