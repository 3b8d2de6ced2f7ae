"""Find the few targets that are worth scoring for a request."""

from savoryyoke.routing import decisions
from savoryyoke.routing import subsets


class CandidateFinder:
    """Collect affine, caching, cold and random targets."""

    def __init__(self, *, registry, beliefs, draws, summary, settings, now_s):
        self._registry = registry
        self._beliefs = beliefs
        self._draws = draws
        self._summary = summary
        self._settings = settings
        self._now_s = now_s

    def find(self, request, *, digests):
        """Return states and reasons by target id, the best reason first."""
        found = {}
        self._add_affine(found, request, digests=digests)
        self._add_holders(found, digests=digests)
        self._add_cold(found, request)
        usable = self._registry.get_usable()
        reason = decisions.ChoiceReason.SAMPLED
        for _ in range(self._settings.random_candidates):
            state = self._draws.pick(usable)
            found.setdefault(state.target_id, (state, reason))
        return found

    def _add_cold(self, found, request):
        """Add a cold target that bears one call more.

        Without work it would stay cold; work that can wait goes first.
        """
        cold_states = self._summary.cold_states
        shares = self._settings.warm_up_shares
        share = shares[max(0, min(request.priority, len(shares) - 1))]
        if not cold_states or self._draws.draw() >= share:
            return
        bearing = [
            state
            for state in cold_states
            if self._registry.is_usable(state)
            and state.is_cold
            and state.own_calls < state.get_quota(now_s=self._now_s)
        ]
        if bearing:
            state = self._draws.pick(bearing)
            reason = decisions.ChoiceReason.WARM_UP
            found[state.target_id] = (state, reason)

    def _add_holders(self, found, *, digests):
        holders = list(self._beliefs.find_holders(digests=digests))
        reason = decisions.ChoiceReason.PREFIX
        for _ in range(min(len(holders), self._settings.prefix_candidates)):
            target_id = self._draws.pick(holders)
            holders.remove(target_id)
            state = self._registry.get(target_id)
            if self._registry.is_usable(state):
                found.setdefault(target_id, (state, reason))

    def _add_affine(self, found, request, *, digests):
        """Add the first target of the ring that is not overloaded."""
        key = request.adapter.encode()
        if digests:
            key += self._beliefs.find_rare(digests=digests)
        if not key:
            return
        key += request.model.encode() + request.version.encode()
        reason = decisions.ChoiceReason.AFFINITY
        walk = self._registry.get_ring().walk(
            key_hash=subsets.hash_bytes(key),
            steps=self._settings.affinity_steps,
        )
        for target_id in walk:
            state = self._registry.get(target_id)
            if self._is_below_mean(state):
                found[target_id] = (state, reason)
                return

    def _is_below_mean(self, state):
        load = state.estimate_load(
            mean_occupancy=self._summary.mean_occupancy, now_s=self._now_s
        )
        usual = self._summary.mean_occupancy * state.limit + 1.0
        return load + 1.0 <= self._settings.affinity_load_factor * usual
