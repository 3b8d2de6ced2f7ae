"""Make fencing tokens that increase without a shared store."""

import dataclasses

from savoryyoke.groups import exceptions
from savoryyoke.groups.orders import conf


class TokenOutOfRange(exceptions.GroupsError):
    """Report a token that does not fit into a fencing number."""


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class OrderToken:
    """Define the sequence of the orders to one engine.

    ``revision`` is the revision of the operators' configuration, which only
    increases and which every process receives. ``counter`` is one above the
    highest counter of that revision that the writer has read from the gate.
    ``writer`` is a small hash of the writer, which distinguishes writers that
    have read the same counter.
    """

    revision: int
    counter: int = 0
    writer: int = 0

    def encode(self):
        """Return the token as an integer of 63 bits that sorts like the token.

        Raises TokenOutOfRange if a field is negative or too large.
        """
        values_and_bits = (
            (self.revision, conf.REVISION_BITS),
            (self.counter, conf.COUNTER_BITS),
            (self.writer, conf.WRITER_BITS),
        )
        number = 0
        for value, bits in values_and_bits:
            if not 0 <= value < 1 << bits:
                raise TokenOutOfRange(f'{value} does not fit into {bits} bits')
            number = number << bits | value
        return number


def decode_number(number):
    """Return the OrderToken that the fencing ``number`` encodes."""
    writer = number & (1 << conf.WRITER_BITS) - 1
    number >>= conf.WRITER_BITS
    return OrderToken(
        revision=number >> conf.COUNTER_BITS,
        counter=number & (1 << conf.COUNTER_BITS) - 1,
        writer=writer,
    )


def next_token(*, highest_token, revision, writer):
    """Return a token above ``highest_token``, or None for an outdated writer.

    A writer whose ``revision`` is below that of ``highest_token`` must not
    give orders until it has received the newer configuration.
    """
    if highest_token is None or revision > highest_token.revision:
        return OrderToken(revision=revision, counter=1, writer=writer)
    if revision < highest_token.revision:
        return None
    return OrderToken(
        revision=revision, counter=highest_token.counter + 1, writer=writer
    )
