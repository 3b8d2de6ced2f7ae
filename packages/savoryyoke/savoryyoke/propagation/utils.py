"""Derive reproducible jitter from names."""

import xxhash

_SCALE = 2.0**64


def hash_fraction(*parts):
    """Return a number in [0, 1) that is a hash of the parts."""
    text = '\t'.join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode()) / _SCALE
