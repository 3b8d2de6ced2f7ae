"""Make fencing tokens that rise without any store."""

import dataclasses

from savoryyoke.groups import exceptions
from savoryyoke.groups.orders import conf


class NumberExhausted(exceptions.GroupsError):
    """Report a token that does not fit a fencing number."""


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class OrderToken:
    """Order the orders to one engine.

    ``revision`` is that of the operators' configuration, which only grows
    and which every process learns. ``counter`` is one above the highest that
    the writer has read from the receiver within that revision. ``writer``
    is a small hash of the writer; it separates writers that read alike.
    """

    revision: int
    counter: int = 0
    writer: int = 0

    def encode(self):
        """Return the token as one integer of 63 bits, in the same order."""
        limits = (
            (self.revision, conf.REVISION_BITS),
            (self.counter, conf.COUNTER_BITS),
            (self.writer, conf.WRITER_BITS),
        )
        number = 0
        for value, bits in limits:
            if not 0 <= value < 1 << bits:
                raise NumberExhausted(f'{value} does not fit {bits} bits')
            number = number << bits | value
        return number


def decode_number(number):
    """Return the OrderToken with the fencing ``number``."""
    writer = number & (1 << conf.WRITER_BITS) - 1
    number >>= conf.WRITER_BITS
    return OrderToken(
        revision=number >> conf.COUNTER_BITS,
        counter=number & (1 << conf.COUNTER_BITS) - 1,
        writer=writer,
    )


def next_token(*, seen, revision, writer):
    """Return a token above ``seen``, or None for an outdated writer.

    A writer whose configuration is older than the one that ``seen`` was made
    from gives no order until it has caught up.
    """
    if seen is None or revision > seen.revision:
        return OrderToken(revision=revision, counter=1, writer=writer)
    if revision < seen.revision:
        return None
    return OrderToken(
        revision=revision, counter=seen.counter + 1, writer=writer
    )
