"""Test the messages between the agents of a group."""

import itertools
import random
import unittest

from savoryyoke.groups.rollout import models

from savoryyoke_wire import assembly
from savoryyoke_wire import conf
from savoryyoke_wire import exceptions
from savoryyoke_wire import group

TERM = models.Term(number=3, rank=1)


def build_directive(**changes):
    """Return a directive with some fields replaced by ``changes``."""
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
    def assert_round_trip(self, message):
        """Check that a message is equal after encoding and decoding."""
        self.assertEqual(message, group.decode(group.encode(message)))

    def assert_fits_datagram(self, message):
        """Check that a message is equal after a round trip in one datagram."""
        self.assert_round_trip(message)
        self.assertLessEqual(
            len(group.encode(message)), conf.DATAGRAM_LIMIT_BYTES
        )

    def test_directives(self):
        self.assert_round_trip(build_directive())
        self.assert_round_trip(build_directive(wants_experts=True))
        self.assert_round_trip(
            build_directive(phase=models.Phase.PREPARE, version=70000)
        )

    def test_members(self):
        self.assert_fits_datagram(group.MembersRequest(group='g'))
        shape = models.GroupShape(
            sets=8, experts=252, slots=5, max_copies_per_rank=2, copy_s=0.02
        )
        for ranks in (0, 63, 129):
            self.assert_fits_datagram(
                group.MembersReport(
                    group='g',
                    members=models.GroupMembers(
                        shape=shape,
                        hosts_by_rank={
                            rank: f'10.1.{rank}.{rank}'
                            for rank in range(ranks)
                        },
                    ),
                )
            )

    def test_reports(self):
        state = models.EngineState(
            group='g',
            epoch=2,
            rank=3,
            ranks=12,
            is_open=True,
            step=900,
            active=65000,
            prepared=None,
            armed=70000,
            held=901,
            pace=1.5,
        )
        for may_be_armed in (False, True):
            self.assert_round_trip(
                models.RankReport(
                    host='10.0.0.2',
                    state=state,
                    term=TERM,
                    sequence=17,
                    may_be_armed=may_be_armed,
                )
            )

    def test_maps(self):
        expert_map = models.ExpertMap(
            version=70000, experts=(((0, 1), (2,)), ((2,), (1, 0)))
        )
        self.assert_round_trip(
            group.MapContent(group='g', expert_map=expert_map)
        )
        self.assert_round_trip(
            group.MapRequest(group='g', version=70000, host='10.0.0.2')
        )

    def test_changes_of_a_map(self):
        self.assert_round_trip(
            group.MapChangeContent(
                group='g',
                change=models.MapChange(
                    version=70000,
                    base_version=0,
                    experts_by_rank_by_set=({}, {62: (1, 251), 0: ()}),
                ),
            )
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
        self.assert_fits_datagram(
            group.MapContent(group='g', expert_map=expert_map)
        )

    def test_loaded_experts(self):
        self.assert_round_trip(
            group.HeldReport(
                group='g',
                rank=4,
                held=models.RankMap(version=70000, experts=((0, 251), (3,))),
            )
        )

    def test_choices(self):
        self.assert_round_trip(
            group.ChoicesReport(group='g', rank=4, choices=(0, 2**31, 7))
        )

    def test_choices_of_any_width(self):
        """Each width of a count is packed and read on its own."""
        for bits in range(1, 65):
            choices = (2**bits - 1, 0, 1, 2 ** (bits - 1))
            self.assert_round_trip(
                group.ChoicesReport(group='g', rank=4, choices=choices)
            )

    def test_choices_take_as_few_bytes_as_the_largest_needs(self):
        sizes = [
            len(
                group.encode(
                    group.ChoicesReport(
                        group='g', rank=4, choices=(2 ** (8 * width) - 1,) * 64
                    )
                )
            )
            for width in range(1, 9)
        ]
        for narrow, wide in itertools.pairwise(sizes):
            self.assertLess(narrow + 50, wide)

    def test_choices_of_the_largest_block_fit_a_datagram(self):
        choices = tuple((997 * index) % 60000 for index in range(8 * 252))
        self.assert_fits_datagram(
            group.ChoicesReport(group='g', rank=4, choices=choices)
        )

    def test_messages_of_any_size_are_split_and_reassembled(self):
        source = random.Random(129)
        for sets, ranks, places in ((16, 129, 3), (16, 1300, 8), (1, 1, 1)):
            experts = tuple(
                tuple(
                    tuple(source.choices(range(60_000), k=places))
                    for _ in range(ranks)
                )
                for _ in range(sets)
            )
            choices = tuple(
                source.choices((0, 3, 200, 70_000), k=sets * ranks * places)
            )
            for message in (
                group.MapContent(
                    group='g',
                    expert_map=models.ExpertMap(version=9, experts=experts),
                ),
                group.ChoicesReport(group='g', rank=4, choices=choices),
            ):
                with self.subTest(ranks=ranks, message=type(message)):
                    self.assert_assembled(message, source)

    def assert_assembled(self, message, source):
        """Check that shuffled and duplicated datagrams give the message."""
        sent = list(group.encode_datagrams(message, message_id=7))
        longest = max(len(packed) for packed in sent)
        self.assertLessEqual(longest, conf.DATAGRAM_LIMIT_BYTES)
        if len(sent) == 1:
            self.assertEqual(message, group.decode(sent[0]))
            return
        assembler = assembly.Assembler()
        withheld = sent.pop(source.randrange(len(sent)))
        shuffled = sent * 2
        source.shuffle(shuffled)
        for packed in shuffled:
            assembled = assembler.add(
                group.decode(packed), sender='a', now_s=0.0
            )
            self.assertIsNone(assembled)
        assembled = assembler.add(
            group.decode(withheld), sender='a', now_s=0.0
        )
        self.assertEqual(message, group.decode(assembled))

    def test_truncated_datagrams_are_refused(self):
        packed = group.encode(build_directive())
        for length in range(len(packed)):
            with self.subTest(length=length):
                with self.assertRaises(exceptions.WireError):
                    group.decode(packed[:length])


class AssemblerTests(unittest.TestCase):
    def setUp(self):
        self.assembler = assembly.Assembler()

    def add(self, number, *, sender='a', message_id=1, parts=2, now_s=0.0):
        part = group.MessagePart(
            message_id=message_id,
            number=number,
            parts=parts,
            content=b'%d' % number,
        )
        return self.assembler.add(part, sender=sender, now_s=now_s)

    def test_parts_are_assembled_per_sender_and_message(self):
        self.assertIsNone(self.add(0))
        self.assertIsNone(self.add(1, sender='b'))
        self.assertIsNone(self.add(1, message_id=2))
        self.assertEqual(b'01', self.add(1))

    def test_incomplete_messages_are_bounded_and_expire(self):
        for message_id in range(2 * conf.ASSEMBLIES_LIMIT):
            self.add(0, message_id=message_id)
        stored = len(self.assembler._assemblies_by_key)
        self.assertEqual(conf.ASSEMBLIES_LIMIT, stored)
        self.add(0, message_id=-1, now_s=conf.ASSEMBLY_TIMEOUT_S)
        self.assertEqual(1, len(self.assembler._assemblies_by_key))

    def test_part_of_a_too_long_message_is_ignored(self):
        self.add(0, parts=1000)
        self.assertEqual(0, len(self.assembler._assemblies_by_key))
