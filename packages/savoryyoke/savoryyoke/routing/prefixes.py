"""Keep beliefs about which target caches which prompt prefixes."""

import collections


class PrefixBeliefs:
    """Hold the believed contents of each target's prefix cache.

    A belief only ever saves time: it is bounded in number, dropped when an
    event is missing, and trusted as far as answers confirm it.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._digests_by_target_id = {}
        self._target_ids_by_digest = {}
        self._sequences_by_target_id = {}
        self._confidences_by_target_id = {}

    def apply_sequence(self, *, target_id, sequence):
        """Record an event's sequence number.

        Return None for an old event, otherwise whether events are missing
        between the last one and this one.
        """
        last = self._sequences_by_target_id.get(target_id)
        if last is not None and sequence <= last:
            return None
        self._sequences_by_target_id[target_id] = sequence
        return last is not None and sequence != last + 1

    def add(self, *, target_id, digests, answered_at_s=None):
        """Believe that a target caches the digests.

        ``answered_at_s`` tells when an answer showed it, None for an event.
        """
        believed = self._digests_by_target_id.setdefault(
            target_id, collections.OrderedDict()
        )
        for digest in digests:
            if answered_at_s is not None or digest not in believed:
                believed[digest] = answered_at_s
            believed.move_to_end(digest)
            self._target_ids_by_digest.setdefault(digest, {})[target_id] = None
        excess = len(believed) - self._settings.beliefs_limit
        for _ in range(excess):
            self._forget(target_id=target_id, digest=next(iter(believed)))

    def remove(self, *, target_id, digests):
        """Stop believing that a target caches the digests."""
        believed = self._digests_by_target_id.get(target_id, {})
        for digest in digests:
            if digest in believed:
                self._forget(target_id=target_id, digest=digest)

    def drop(self, *, target_id):
        """Drop all beliefs about a target's cache; return their number."""
        believed = self._digests_by_target_id.pop(target_id, {})
        for digest in believed:
            self._unindex(target_id=target_id, digest=digest)
        return len(believed)

    def drop_unanswered(self, *, target_id, now_s):
        """Drop the beliefs that no answer showed lately; return the number.

        An event that was missed may have evicted any of them.
        """
        believed = self._digests_by_target_id.get(target_id, {})
        oldest_s = now_s - self._settings.answer_trust_s
        dropped = [
            digest
            for digest, answered_at_s in believed.items()
            if answered_at_s is None or answered_at_s < oldest_s
        ]
        self.remove(target_id=target_id, digests=dropped)
        return len(dropped)

    def drop_target(self, *, target_id):
        """Drop everything known about a target; return the beliefs' number."""
        self._sequences_by_target_id.pop(target_id, None)
        self._confidences_by_target_id.pop(target_id, None)
        return self.drop(target_id=target_id)

    def count_matched(self, *, target_id, digests):
        """Return how many leading digests a target is believed to hold."""
        believed = self._digests_by_target_id.get(target_id)
        if not believed:
            return 0
        matched = 0
        for digest in digests:
            if digest not in believed:
                break
            matched += 1
        return matched

    def find_holders(self, *, digests):
        """Return the targets believed to hold the longest known prefix."""
        for digest in reversed(digests):
            holders = self._target_ids_by_digest.get(digest)
            if holders:
                return holders
        return ()

    def find_rare(self, *, digests):
        """Return the first digest that few targets are believed to hold.

        A prefix that many requests share is held by many targets; what
        follows it tells conversations apart.
        """
        limit = self._settings.rare_holders_limit
        for digest in digests:
            holders = self._target_ids_by_digest.get(digest, ())
            if len(holders) <= limit:
                return digest
        return digests[-1]

    def get_confidence(self, *, target_id):
        """Return how far beliefs about a target are trusted, 0 to 1."""
        return self._confidences_by_target_id.get(target_id, 1.0)

    def verify(self, *, target_id, expected, found):
        """Compare an expected match with what the answer reported."""
        if not expected:
            return
        ratio = min(1.0, max(0, found) / expected)
        confidence = self.get_confidence(target_id=target_id)
        weight = self._settings.confidence_weight
        self._confidences_by_target_id[target_id] = confidence + weight * (
            ratio - confidence
        )

    def _forget(self, *, target_id, digest):
        del self._digests_by_target_id[target_id][digest]
        self._unindex(target_id=target_id, digest=digest)

    def _unindex(self, *, target_id, digest):
        holders = self._target_ids_by_digest[digest]
        del holders[target_id]
        if not holders:
            del self._target_ids_by_digest[digest]
