"""Test the datagrams of the membership protocol."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.membership import messages
from savoryyoke.membership import sizes
from savoryyoke_wire import exceptions
from savoryyoke_wire import gossip

EXAMPLES = 300
FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=EXAMPLES
)
UPDATE = messages.MemberUpdate(
    vm_id='entry-a',
    incarnation=2**64 - 1,
    refutation=3,
    state=messages.MemberState.SUSPECT,
    role='entry',
    data_centre='dc-a',
    address='10.0.0.1:7000',
)
COMMON = {
    'sender_id': 'target-b',
    'sender_incarnation': 2**63,
    'sender_refutation': 1,
    'sender_state': messages.MemberState.LEAVING,
    'sequence': 2**40,
    'versions_digest': 2**63 + 1,
    'versions': (messages.Version(name='base', revision=7, digest=9),),
    'attachments': (messages.Attachment(name='limits', content=b'\x00x'),),
    'updates': (UPDATE, UPDATE),
}
EXAMPLES_OF_KINDS = (
    messages.Ping(joining=True, **COMMON),
    messages.PingRequest(
        subject_id='entry-c', subject_address='10.0.0.2:7000', **COMMON
    ),
    messages.Ack(subject_id='entry-c', reached=False, **COMMON),
)


class GossipTests(unittest.TestCase):
    """Test the encoding and decoding of datagrams."""

    def test_round_trip_keeps_every_field(self):
        for message in EXAMPLES_OF_KINDS:
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(
                    message, gossip.decode(gossip.encode(message))
                )

    def test_estimated_sizes_are_not_below_the_real_ones(self):
        for message in EXAMPLES_OF_KINDS:
            with self.subTest(kind=type(message).__name__):
                self.assertGreaterEqual(
                    sizes.message_bytes(message),
                    sizes.DATAGRAM_BYTES + len(gossip.encode(message)),
                )

    @FIXED
    @hypothesis.given(strategies.data())
    def test_garbage_and_damage_give_typed_errors(self, data):
        packed = bytearray(gossip.encode(EXAMPLES_OF_KINDS[0]))
        if data.draw(strategies.booleans()):
            packed = bytearray(data.draw(strategies.binary(max_size=300)))
        elif packed:
            position = data.draw(strategies.integers(0, len(packed) - 1))
            packed[position] ^= data.draw(strategies.integers(1, 255))
        try:
            message = gossip.decode(bytes(packed))
        except exceptions.WireError:
            return
        self.assertIsInstance(message, messages.Message)
