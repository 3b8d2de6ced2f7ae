"""Test what is accepted of the platform's VM lists."""

import dataclasses
import unittest

import numpy

from savoryyoke.membership import aggregate
from savoryyoke.membership import decisions
from savoryyoke.membership import events
from savoryyoke.membership import exceptions
from savoryyoke.membership import messages


def entry(number, **changes):
    """Return a well-formed entry."""
    made = events.VmEntry(
        vm_id=f'target-{number}',
        role='target',
        data_centre='dc0',
        address=f'10.0.0.{number}:7000',
        state='live',
    )
    return dataclasses.replace(made, **changes)


class VmListTest(unittest.TestCase):
    """Test one process that reads list after list."""

    def setUp(self):
        self.member = aggregate.Membership(
            vm_id='entry-0',
            role='entry',
            data_centre='dc0',
            address='10.0.1.0:7000',
            incarnation=7,
            generator=numpy.random.Generator(numpy.random.PCG64(1)),
        )
        self.good = tuple(entry(number) for number in range(4))
        self.read(self.good, 10)

    def read(self, entries, sequence):
        """Feed one list and return the decisions."""
        event = events.VmListRead(entries=entries, sequence=sequence)
        return self.member.apply(event, now_s=0.0)

    def hear(self, numbers):
        """Let members prove that they are alive."""
        for number in numbers:
            message = messages.Ping(
                sender_id=f'target-{number}',
                sender_incarnation=100 + number,
                sender_refutation=0,
                sender_state=messages.MemberState.ALIVE,
                sequence=1,
            )
            event = events.MessageReceived(
                message=message, address=f'10.0.0.{number}:7000'
            )
            self.member.apply(event, now_s=0.0)

    def test_refuses_bad_lists_whole_and_keeps_the_last(self):
        self.hear([0, 1, 2])
        before = self.member.members()
        cases = {
            'E001': ((), 11),
            'E002': (tuple(entry(n) for n in range(20_001)), 11),
            'E003 role': (self.good + (entry(9, role='disk'),), 11),
            'E003 state': (self.good + (entry(9, state=None),), 11),
            'E003 address': (self.good + (entry(9, address='x:0'),), 11),
            'E003 bytes': (self.good + (b'target-9',), 11),
            'E004 id': (self.good + (entry(3, address='a:1'),), 11),
            'E004 address': (self.good + (entry(3, vm_id='t'),), 11),
            'E005 older': (self.good + (entry(9),), 9),
            'E005 two contents': (self.good + (entry(9),), 10),
            'E005 type': (self.good, '11'),
            'E006': (self.good[:1], 11),
        }
        for name, (entries, sequence) in cases.items():
            with self.subTest(name):
                made = self.read(entries, sequence)
                self.assertEqual(len(made), 1)
                self.assertIsInstance(made[0], decisions.VmListRefused)
                identifiers = {fault.id for fault in made[0].faults}
                self.assertEqual(
                    identifiers, {f'savoryyoke.membership.{name[:4]}'}
                )
                self.assertEqual(self.member.members(), before)

    def test_a_repeated_list_changes_nothing(self):
        self.assertEqual(self.read(self.good, 10), ())

    def test_reports_joins_leaves_and_returns(self):
        changed = (entry(1, state='leaving'), *self.good[2:], entry(5))
        made = self.read(changed, 11)
        kinds = {(type(d).__name__, d.vm_id) for d in made}
        self.assertEqual(
            kinds,
            {
                ('MemberJoined', 'target-5'),
                ('MemberLeaving', 'target-1'),
                ('MemberLeft', 'target-0'),
            },
        )
        made = self.read(tuple(entry(n) for n in (1, 2, 3, 5)), 12)
        self.assertEqual(
            [(type(d).__name__, d.vm_id) for d in made],
            [('MemberJoined', 'target-1')],
        )

    def test_a_member_that_answers_outlives_its_entry(self):
        self.hear([0])
        self.assertEqual(
            self.read(self.good[1:], 11)[0].faults[0].id[-4:], 'E006'
        )
        self.hear([1, 2])
        self.assertEqual(self.read(self.good[1:], 11), ())
        self.assertIsNotNone(self.member.member('target-0'))


class SummaryBoundTest(unittest.TestCase):
    """Test the bounds of what rides on messages."""

    def test_refuses_summaries_past_the_bound(self):
        member = aggregate.Membership(
            vm_id='entry-0',
            role='entry',
            data_centre='dc0',
            address='10.0.1.0:7000',
            incarnation=7,
            generator=numpy.random.Generator(numpy.random.PCG64(1)),
        )
        attachment = messages.Attachment(name='limits', content=b'x' * 300)
        event = events.AttachmentsChanged(attachments=(attachment,))
        with self.assertRaises(exceptions.SummaryTooLarge):
            member.apply(event, now_s=0.0)
