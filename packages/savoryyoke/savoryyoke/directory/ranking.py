"""Rank entries for a caller by weighted rendezvous hashing."""

import math

import xxhash

_HASH_SPAN = 2.0**64


def rank_entries(entries, *, identity):
    """Return the entries in the order that a caller should use them.

    A change of one entry's weight, or of its presence, moves only callers
    towards or away from that entry.
    """
    return sorted(
        entries,
        key=lambda entry: _score(entry, identity=identity),
    )


def _score(entry, *, identity):
    key = f'{entry.entry_id}\n{identity}'.encode()
    drawn = (xxhash.xxh3_64_intdigest(key) + 0.5) / _HASH_SPAN
    return -math.log(drawn) / entry.weight
