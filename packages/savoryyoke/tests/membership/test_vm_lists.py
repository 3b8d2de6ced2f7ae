"""Test which VM lists of the platform are accepted."""

import dataclasses
import unittest

import numpy

from savoryyoke.membership import aggregate
from savoryyoke.membership import decisions
from savoryyoke.membership import events
from savoryyoke.membership import exceptions
from savoryyoke.membership import messages


def entry(number, **changes):
    """Return a valid entry, with changed fields."""
    valid_entry = events.VmEntry(
        vm_id=f'target-{number}',
        role='target',
        data_centre='dc0',
        address=f'10.0.0.{number}:7000',
        state='live',
    )
    return dataclasses.replace(valid_entry, **changes)


class VmListTest(unittest.TestCase):
    """Test one process that reads several lists."""

    def setUp(self):
        self.member = aggregate.Membership(
            vm_id='entry-0',
            role='entry',
            data_centre='dc0',
            address='10.0.1.0:7000',
            incarnation=7,
            generator=numpy.random.Generator(numpy.random.PCG64(1)),
        )
        self.valid_entries = tuple(entry(number) for number in range(4))
        self.read(self.valid_entries, 10)

    def read(self, entries, sequence):
        """Pass a list to the process and return the decisions."""
        event = events.VmListRead(entries=entries, sequence=sequence)
        return self.member.apply(event, now_s=0.0)

    def receive_pings(self, numbers):
        """Deliver a ping from each of these members."""
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

    def test_rejects_invalid_lists_and_keeps_the_last(self):
        self.receive_pings([0, 1, 2])
        before = self.member.members()
        cases = {
            'E001': ((), 11),
            'E002': (tuple(entry(number) for number in range(20_001)), 11),
            'E003 role': (self.valid_entries + (entry(9, role='disk'),), 11),
            'E003 state': (self.valid_entries + (entry(9, state=None),), 11),
            'E003 address': (
                self.valid_entries + (entry(9, address='x:0'),),
                11,
            ),
            'E003 bytes': (self.valid_entries + (b'target-9',), 11),
            'E004 id': (self.valid_entries + (entry(3, address='a:1'),), 11),
            'E004 address': (self.valid_entries + (entry(3, vm_id='t'),), 11),
            'E005 older': (self.valid_entries + (entry(9),), 9),
            'E005 two contents': (self.valid_entries + (entry(9),), 10),
            'E005 type': (self.valid_entries, '11'),
            'E006': (self.valid_entries[:1], 11),
        }
        for name, (entries, sequence) in cases.items():
            with self.subTest(name):
                emitted = self.read(entries, sequence)
                self.assertEqual(len(emitted), 1)
                self.assertIsInstance(emitted[0], decisions.VmListRefused)
                identifiers = {fault.id for fault in emitted[0].faults}
                self.assertEqual(
                    identifiers, {f'savoryyoke.membership.{name[:4]}'}
                )
                self.assertEqual(self.member.members(), before)

    def test_a_repeated_list_changes_nothing(self):
        self.assertEqual(self.read(self.valid_entries, 10), ())

    def test_reports_joins_leaves_and_returns(self):
        changed = (
            entry(1, state='leaving'),
            *self.valid_entries[2:],
            entry(5),
        )
        emitted = self.read(changed, 11)
        kinds = {
            (type(decision).__name__, decision.vm_id) for decision in emitted
        }
        self.assertEqual(
            kinds,
            {
                ('MemberJoined', 'target-5'),
                ('MemberLeaving', 'target-1'),
                ('MemberLeft', 'target-0'),
            },
        )
        emitted = self.read(
            tuple(entry(number) for number in (1, 2, 3, 5)), 12
        )
        self.assertEqual(
            [
                (type(decision).__name__, decision.vm_id)
                for decision in emitted
            ],
            [('MemberJoined', 'target-1')],
        )

    def test_an_answering_member_stays_without_an_entry(self):
        self.receive_pings([0])
        self.assertEqual(
            self.read(self.valid_entries[1:], 11)[0].faults[0].id[-4:], 'E006'
        )
        self.receive_pings([1, 2])
        self.assertEqual(self.read(self.valid_entries[1:], 11), ())
        self.assertIsNotNone(self.member.member('target-0'))


class SummaryLimitTest(unittest.TestCase):
    """Test the limits of the summary in messages."""

    def test_rejects_summaries_above_the_limit(self):
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
