"""Index which targets have cached which prompt prefixes."""

import collections


class PrefixCacheIndex:
    """Hold the expected contents of each target's prefix cache.

    The index only affects latency, so it may be wrong. Its size is limited,
    digests are dropped after a missing event, and the digests of a target
    are weighted by how often answers confirm them.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._digests_by_target_id = {}
        self._target_ids_by_digest = {}
        self._sequences_by_target_id = {}
        self._confidences_by_target_id = {}

    def apply_sequence(self, *, target_id, sequence):
        """Record the sequence number of a cache event.

        Return None for an old event, else whether events are missing
        between the previous event and this one.
        """
        last_sequence = self._sequences_by_target_id.get(target_id)
        if last_sequence is not None and sequence <= last_sequence:
            return None
        self._sequences_by_target_id[target_id] = sequence
        return last_sequence is not None and sequence != last_sequence + 1

    def add(self, *, target_id, digests, answered_at_s=None):
        """Add digests that a target has cached.

        ``answered_at_s`` is the time of the answer that showed this, or
        None if a cache event reported it.
        """
        cached_digests = self._digests_by_target_id.setdefault(
            target_id, collections.OrderedDict()
        )
        for digest in digests:
            if answered_at_s is not None or digest not in cached_digests:
                cached_digests[digest] = answered_at_s
            cached_digests.move_to_end(digest)
            self._target_ids_by_digest.setdefault(digest, {})[target_id] = None
        excess_count = (
            len(cached_digests) - self._settings.cached_digests_limit
        )
        for _ in range(excess_count):
            self._remove_digest(
                target_id=target_id, digest=next(iter(cached_digests))
            )

    def remove(self, *, target_id, digests):
        """Remove digests that a target no longer caches."""
        cached_digests = self._digests_by_target_id.get(target_id, {})
        for digest in digests:
            if digest in cached_digests:
                self._remove_digest(target_id=target_id, digest=digest)

    def drop(self, *, target_id):
        """Drop all digests of a target; return their number."""
        cached_digests = self._digests_by_target_id.pop(target_id, {})
        for digest in cached_digests:
            self._unindex(target_id=target_id, digest=digest)
        return len(cached_digests)

    def drop_unconfirmed(self, *, target_id, now_s):
        """Drop digests that no recent answer confirmed; return their number.

        A missing event may have evicted any of them.
        """
        cached_digests = self._digests_by_target_id.get(target_id, {})
        oldest_s = now_s - self._settings.confirmation_lifetime_s
        dropped = [
            digest
            for digest, answered_at_s in cached_digests.items()
            if answered_at_s is None or answered_at_s < oldest_s
        ]
        self.remove(target_id=target_id, digests=dropped)
        return len(dropped)

    def drop_target(self, *, target_id):
        """Drop all data of a target; return the number of its digests."""
        self._sequences_by_target_id.pop(target_id, None)
        self._confidences_by_target_id.pop(target_id, None)
        return self.drop(target_id=target_id)

    def count_matched(self, *, target_id, digests):
        """Return how many leading digests a target is expected to hold."""
        cached_digests = self._digests_by_target_id.get(target_id)
        if not cached_digests:
            return 0
        matched_count = 0
        for digest in digests:
            if digest not in cached_digests:
                break
            matched_count += 1
        return matched_count

    def find_caching_targets(self, *, digests):
        """Return the ids of the targets that hold the longest prefix."""
        for digest in reversed(digests):
            target_ids = self._target_ids_by_digest.get(digest)
            if target_ids:
                return target_ids
        return ()

    def find_distinctive_digest(self, *, digests):
        """Return the first digest that only a few targets hold.

        Many targets hold a prefix that many requests share, such as a
        system prompt; the digests after it distinguish conversations.
        """
        limit = self._settings.distinctive_targets_limit
        for digest in digests:
            target_ids = self._target_ids_by_digest.get(digest, ())
            if len(target_ids) <= limit:
                return digest
        return digests[-1]

    def get_confidence(self, *, target_id):
        """Return the share of predictions that answers confirm, 0 to 1."""
        return self._confidences_by_target_id.get(target_id, 1.0)

    def update_confidence(self, *, target_id, expected_count, found_count):
        """Compare the predicted number of cached digests with the answer."""
        if not expected_count:
            return
        ratio = min(1.0, max(0, found_count) / expected_count)
        confidence = self.get_confidence(target_id=target_id)
        weight = self._settings.confidence_weight
        self._confidences_by_target_id[target_id] = confidence + weight * (
            ratio - confidence
        )

    def _remove_digest(self, *, target_id, digest):
        del self._digests_by_target_id[target_id][digest]
        self._unindex(target_id=target_id, digest=digest)

    def _unindex(self, *, target_id, digest):
        target_ids = self._target_ids_by_digest[digest]
        del target_ids[target_id]
        if not target_ids:
            del self._target_ids_by_digest[digest]
