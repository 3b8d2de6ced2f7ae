"""Reassemble messages that were sent in several datagrams."""

import collections
import dataclasses

from savoryyoke_wire import conf


@dataclasses.dataclass(kw_only=True)
class _Assembly:
    """Hold the received parts of one incomplete message."""

    parts: int
    first_part_s: float
    contents_by_number: dict


class Assembler:
    """Collect the parts of messages until each message is complete.

    At most ``ASSEMBLIES_LIMIT`` incomplete messages are stored; beyond that
    the oldest is dropped, and so is a message that is not complete within
    ``ASSEMBLY_TIMEOUT_S``.
    """

    def __init__(self):
        self._assemblies_by_key = collections.OrderedDict()

    def add(self, part, *, sender, now_s):
        """Store a ``group.MessagePart``.

        Return the bytes of the message once all its parts are here, else
        None. A part of a message that would be too long is ignored.
        """
        self._drop_expired(now_s)
        if part.parts * conf.PART_BYTES > (
            conf.MESSAGE_LIMIT_BYTES + conf.PART_BYTES
        ):
            return None
        key = (sender, part.message_id)
        assembly = self._assemblies_by_key.get(key)
        if assembly is None or assembly.parts != part.parts:
            assembly = _Assembly(
                parts=part.parts, first_part_s=now_s, contents_by_number={}
            )
            self._assemblies_by_key[key] = assembly
            if len(self._assemblies_by_key) > conf.ASSEMBLIES_LIMIT:
                self._assemblies_by_key.popitem(last=False)
        contents = assembly.contents_by_number
        contents[part.number] = part.content
        if len(contents) < part.parts:
            return None
        del self._assemblies_by_key[key]
        return b''.join(contents[number] for number in range(part.parts))

    def _drop_expired(self, now_s):
        while self._assemblies_by_key:
            key, oldest = next(iter(self._assemblies_by_key.items()))
            if now_s - oldest.first_part_s < conf.ASSEMBLY_TIMEOUT_S:
                break
            del self._assemblies_by_key[key]
