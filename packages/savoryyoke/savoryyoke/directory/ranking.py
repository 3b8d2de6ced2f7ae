"""Rank entries for a caller by weighted rendezvous hashing."""

import numpy as np
import xxhash

_MIX_FIRST = np.uint64(0xBF58476D1CE4E5B9)
_MIX_SECOND = np.uint64(0x94D049BB133111EB)
_HASH_SPAN = 2.0**64


def _hash_text(text):
    return np.uint64(xxhash.xxh3_64_intdigest(text.encode()))


def _mix(values):
    values = (values ^ (values >> np.uint64(30))) * _MIX_FIRST
    values = (values ^ (values >> np.uint64(27))) * _MIX_SECOND
    return values ^ (values >> np.uint64(31))


class Ranking:
    """Order a fixed set of entries for any caller.

    A change of one entry's weight, or of its presence, moves only callers
    towards or away from that entry.
    """

    def __init__(self, *, states):
        self._states = tuple(states)
        self._hashes = np.array(
            [_hash_text(state.entry_id) for state in self._states],
            dtype=np.uint64,
        )
        self._weights = np.array([state.weight for state in self._states])
        self._data_centres = np.array(
            [state.data_centre for state in self._states], dtype=object
        )

    def rank(self, *, identity, count, put_last=None):
        """Return the first ``count`` states for a caller's identity.

        ``put_last`` is an array of flags from `flag`, one for each entry.
        """
        if not self._states:
            return ()
        mixed = _mix(self._hashes ^ _hash_text(identity))
        drawn = (mixed.astype(float) + 0.5) / _HASH_SPAN
        scores = -np.log(drawn) / self._weights
        if put_last is None:
            order = np.argsort(scores)
        else:
            order = np.lexsort((scores, put_last))
        return tuple(self._states[index] for index in order[:count])

    def flag(self, *, data_centre, lowest_weight=None):
        """Return which entries lie outside a data centre or are too full.

        Entries with at most ``lowest_weight`` count as too full.
        """
        flags = self._data_centres != data_centre
        if lowest_weight is not None:
            flags = flags | (self._weights <= lowest_weight)
        return flags
