"""Rank entries for a caller by weighted rendezvous hashing."""

import numpy as np
import xxhash

# Constants of the splitmix64 finaliser.
_MIX_MULTIPLIER_1 = np.uint64(0xBF58476D1CE4E5B9)
_MIX_MULTIPLIER_2 = np.uint64(0x94D049BB133111EB)
_HASH_SPAN = 2.0**64


def _hash_text(text):
    return np.uint64(xxhash.xxh3_64_intdigest(text.encode()))


def _mix(values):
    """Return well-distributed hashes of an array of ``uint64`` values."""
    values = (values ^ (values >> np.uint64(30))) * _MIX_MULTIPLIER_1
    values = (values ^ (values >> np.uint64(27))) * _MIX_MULTIPLIER_2
    return values ^ (values >> np.uint64(31))


class Ranking:
    """Order a fixed set of entries for any caller.

    Adding, removing or reweighting an entry moves callers only to or from
    that entry.
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

        ``put_last`` is an array of flags from `flag_outside`; the entries
        with a flag come last.
        """
        if not self._states:
            return ()
        mixed_hashes = _mix(self._hashes ^ _hash_text(identity))
        uniform = (mixed_hashes.astype(float) + 0.5) / _HASH_SPAN
        scores = -np.log(uniform) / self._weights
        if put_last is None:
            order = np.argsort(scores)
        else:
            order = np.lexsort((scores, put_last))
        return tuple(self._states[index] for index in order[:count])

    def flag_outside(self, *, data_centre, lowest_weight=None):
        """Return flags of entries outside a data centre or overloaded.

        Entries with at most ``lowest_weight`` are overloaded. The result is
        a boolean array with one item for each entry.
        """
        flags = self._data_centres != data_centre
        if lowest_weight is not None:
            flags = flags | (self._weights <= lowest_weight)
        return flags
