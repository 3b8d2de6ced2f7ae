"""Select which entries connect to which targets.

Each target selects its entries by rendezvous hashing. All targets get the
same number of entries, and adding or removing an entry or a target changes
only its own connections.
"""

import math

import numpy as np
import xxhash

# Constants of the splitmix64 finaliser.
_MIX_MULTIPLIER_1 = np.uint64(0xBF58476D1CE4E5B9)
_MIX_MULTIPLIER_2 = np.uint64(0x94D049BB133111EB)


def hash_bytes(key):
    """Return the 64-bit hash of a bytes object."""
    return xxhash.xxh3_64_intdigest(key)


def hash_text(text):
    """Return the 64-bit hash of a string."""
    return hash_bytes(text.encode())


def _mix(values):
    """Return well-distributed hashes of an array of ``uint64`` values."""
    values = (values ^ (values >> np.uint64(30))) * _MIX_MULTIPLIER_1
    values = (values ^ (values >> np.uint64(27))) * _MIX_MULTIPLIER_2
    return values ^ (values >> np.uint64(31))


def count_connected_entries(*, entries, targets, settings):
    """Return how many entries connect to each target."""
    if not targets:
        return entries
    wanted_count = math.ceil(settings.subset_size * entries / targets)
    return min(entries, max(settings.minimum_entries_per_target, wanted_count))


class EntryTable:
    """Rank the entries of the fleet for each target."""

    def __init__(self, *, data_centres_by_entry_id):
        self.entry_ids = tuple(sorted(data_centres_by_entry_id))
        self._hashes = np.array(
            [hash_text(entry_id) for entry_id in self.entry_ids],
            dtype=np.uint64,
        )
        self._data_centres = np.array(
            [data_centres_by_entry_id[key] for key in self.entry_ids],
            dtype=object,
        )

    def select_connected_entries(
        self, *, target_id, data_centre, count, near_share
    ):
        """Return the ids of the entries that connect to a target.

        Up to ``near_share`` of ``count``, rounded up, is reserved for entries
        in the target's data centre; the rest come from the whole fleet.
        """
        seed = np.uint64(hash_text(target_id))
        ranked_indexes = np.argsort(_mix(self._hashes ^ seed), kind='stable')
        if count >= len(ranked_indexes):
            return tuple(self.entry_ids[index] for index in ranked_indexes)
        local_indexes = ranked_indexes[
            self._data_centres[ranked_indexes] == data_centre
        ]
        chosen_indexes = list(local_indexes[: math.ceil(count * near_share)])
        reserved_indexes = set(chosen_indexes)
        for index in ranked_indexes:
            if len(chosen_indexes) >= count:
                break
            if index not in reserved_indexes:
                chosen_indexes.append(index)
        return tuple(self.entry_ids[index] for index in chosen_indexes)
