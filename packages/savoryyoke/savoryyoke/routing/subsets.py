"""Select which entries connect to which targets.

Each target selects its entries by rendezvous hashing, so every target has
the same number of entries whatever their number, and a change of one
entry or one target moves only the connections of that one.
"""

import math

import numpy as np
import xxhash

_MIX_FIRST = np.uint64(0xBF58476D1CE4E5B9)
_MIX_SECOND = np.uint64(0x94D049BB133111EB)


def hash_bytes(key):
    """Return the 64-bit hash of some bytes."""
    return xxhash.xxh3_64_intdigest(key)


def hash_identity(identity):
    """Return the 64-bit hash of a text."""
    return hash_bytes(identity.encode())


def _mix(values):
    values = (values ^ (values >> np.uint64(30))) * _MIX_FIRST
    values = (values ^ (values >> np.uint64(27))) * _MIX_SECOND
    return values ^ (values >> np.uint64(31))


def count_sharers(*, entries, targets, settings):
    """Return how many entries connect to each target."""
    if not targets:
        return entries
    wanted = math.ceil(settings.subset_size * entries / targets)
    return min(entries, max(settings.minimum_sharers, wanted))


class EntryTable:
    """Rank the entries of the fleet for each target."""

    def __init__(self, *, data_centres_by_entry_id):
        self.entry_ids = tuple(sorted(data_centres_by_entry_id))
        self._hashes = np.array(
            [hash_identity(entry_id) for entry_id in self.entry_ids],
            dtype=np.uint64,
        )
        self._data_centres = np.array(
            [data_centres_by_entry_id[key] for key in self.entry_ids],
            dtype=object,
        )

    def select_sharers(self, *, target_id, data_centre, count, near_share):
        """Return the ids of the entries that connect to a target.

        At most ``near_share`` of ``count`` is reserved for entries in the
        target's data centre; the others are taken from the whole fleet.
        """
        seed = np.uint64(hash_identity(target_id))
        order = np.argsort(_mix(self._hashes ^ seed), kind='stable')
        if count >= len(order):
            return tuple(self.entry_ids[index] for index in order)
        near = order[self._data_centres[order] == data_centre]
        chosen = list(near[: math.ceil(count * near_share)])
        reserved = set(chosen)
        for index in order:
            if len(chosen) >= count:
                break
            if index not in reserved:
                chosen.append(index)
        return tuple(self.entry_ids[index] for index in chosen)
