"""Put messages together that came in several datagrams."""

import collections
import dataclasses

from savoryyoke_wire import conf


@dataclasses.dataclass(kw_only=True)
class _Assembly:
    parts: int
    begun_s: float
    contents_by_number: dict


class Assembler:
    """Own the messages of which some parts are missing.

    It holds ``ASSEMBLIES_LIMIT`` messages; the oldest makes room, and what
    is not whole within ``ASSEMBLY_TIMEOUT_S`` is dropped.
    """

    def __init__(self):
        self._assemblies_by_key = collections.OrderedDict()

    def add(self, part, *, sender, now_s):
        """Take in a ``group.MessagePart``; return the whole bytes or None."""
        self._forget_old(now_s)
        if part.parts * conf.PART_BYTES > (
            conf.MESSAGE_LIMIT_BYTES + conf.PART_BYTES
        ):
            return None
        key = (sender, part.message_id)
        assembly = self._assemblies_by_key.get(key)
        if assembly is None or assembly.parts != part.parts:
            assembly = _Assembly(
                parts=part.parts, begun_s=now_s, contents_by_number={}
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

    def _forget_old(self, now_s):
        while self._assemblies_by_key:
            key, oldest = next(iter(self._assemblies_by_key.items()))
            if now_s - oldest.begun_s < conf.ASSEMBLY_TIMEOUT_S:
                break
            del self._assemblies_by_key[key]
