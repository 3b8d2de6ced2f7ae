"""Select the few targets that are scored for a request."""

from savoryyoke.routing import decisions
from savoryyoke.routing import subsets


class CandidateFinder:
    """Collect candidates: affine, caching, cold and random targets."""

    def __init__(
        self,
        *,
        registry,
        prefix_index,
        random_source,
        summary,
        settings,
        now_s,
    ):
        self._registry = registry
        self._prefix_index = prefix_index
        self._random_source = random_source
        self._summary = summary
        self._settings = settings
        self._now_s = now_s

    def find(self, request, *, digests):
        """Return a (state, reason) pair for each target id.

        A target that qualifies for several reasons gets the strongest one.
        """
        found_by_id = {}
        self._add_affinity_target(found_by_id, request, digests=digests)
        self._add_caching_targets(found_by_id, digests=digests)
        self._add_cold_target(found_by_id, request)
        usable = self._registry.get_usable()
        reason = decisions.ChoiceReason.SAMPLED
        for _ in range(self._settings.random_candidates):
            state = self._random_source.choose_item(usable)
            found_by_id.setdefault(state.target_id, (state, reason))
        return found_by_id

    def _add_cold_target(self, found_by_id, request):
        """Add a cold target whose quota allows another call.

        A target without calls would stay cold. Unimportant requests are
        used for this more often, see ``RoutingSettings.warm_up_shares``.
        """
        cold_states = self._summary.cold_states
        shares = self._settings.warm_up_shares
        share = shares[max(0, min(request.priority, len(shares) - 1))]
        if not cold_states or self._random_source.next_float() >= share:
            return
        available = [
            state
            for state in cold_states
            if self._registry.is_usable(state)
            and state.is_cold
            and state.own_calls < state.get_quota(now_s=self._now_s)
        ]
        if available:
            state = self._random_source.choose_item(available)
            reason = decisions.ChoiceReason.WARM_UP
            found_by_id[state.target_id] = (state, reason)

    def _add_caching_targets(self, found_by_id, *, digests):
        caching_ids = list(
            self._prefix_index.find_caching_targets(digests=digests)
        )
        reason = decisions.ChoiceReason.PREFIX
        for _ in range(
            min(len(caching_ids), self._settings.prefix_candidates)
        ):
            target_id = self._random_source.choose_item(caching_ids)
            caching_ids.remove(target_id)
            state = self._registry.get(target_id)
            if self._registry.is_usable(state):
                found_by_id.setdefault(target_id, (state, reason))

    def _add_affinity_target(self, found_by_id, request, *, digests):
        """Add the first target on the hash ring that is not overloaded."""
        key = request.adapter.encode()
        if digests:
            key += self._prefix_index.find_distinctive_digest(digests=digests)
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
                found_by_id[target_id] = (state, reason)
                return

    def _is_below_mean(self, state):
        load = state.estimate_load(
            mean_occupancy=self._summary.mean_occupancy, now_s=self._now_s
        )
        mean_load = self._summary.mean_occupancy * state.limit + 1.0
        return load + 1.0 <= self._settings.affinity_load_factor * mean_load
