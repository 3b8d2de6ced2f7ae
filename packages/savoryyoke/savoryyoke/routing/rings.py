"""Order targets for a key by consistent hashing."""

import bisect

from savoryyoke.routing import subsets

POINTS_PER_TARGET = 8


class Ring:
    """Order targets for a key.

    Adding or removing a target moves only the keys of that target.
    """

    def __init__(self, *, target_ids):
        points = []
        for target_id in target_ids:
            for number in range(POINTS_PER_TARGET):
                point = subsets.hash_text(f'{target_id}/{number}')
                points.append((point, target_id))
        points.sort()
        self._hashes = [point for point, _ in points]
        self._target_ids = [target_id for _, target_id in points]

    def walk(self, *, key_hash, steps):
        """Yield the ids of up to ``steps`` targets, from a key's hash on."""
        count = len(self._target_ids)
        start = bisect.bisect(self._hashes, key_hash)
        seen = set()
        for offset in range(count):
            if len(seen) >= steps:
                return
            target_id = self._target_ids[(start + offset) % count]
            if target_id not in seen:
                seen.add(target_id)
                yield target_id
