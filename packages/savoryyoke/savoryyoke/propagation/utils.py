"""Derive jitter from names."""

import xxhash

_SCALE = 2.0**64


def fraction(*parts):
    """Return a number in [0, 1) that depends on the parts alone."""
    text = '\t'.join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode()) / _SCALE
