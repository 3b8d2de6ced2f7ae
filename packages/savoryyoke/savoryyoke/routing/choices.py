"""Choose the best of a few candidate targets of a service."""

from savoryyoke.routing import decisions
from savoryyoke.routing import finders
from savoryyoke.routing import scoring


class Chooser:
    """Choose a target once, from the current state of a router."""

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
        self._lowest_wait_s = None
        self._ignore_slow_start = False

    def choose(self, request):
        """Return `Chosen` or `NoTarget` for a request."""
        usable = self._registry.get_usable()
        if not usable:
            return self._refuse_without_usable()
        digests = request.prefix_digests[: self._settings.digests_limit]
        finder = finders.CandidateFinder(
            registry=self._registry,
            prefix_index=self._prefix_index,
            random_source=self._random_source,
            summary=self._summary,
            settings=self._settings,
            now_s=self._now_s,
        )
        found_by_id = finder.find(request, digests=digests)
        candidates = self._score_all(found_by_id, request, digests=digests)
        if not candidates:
            candidates = self._scan(request, digests=digests)
        if not candidates:
            # Slow start only spreads calls; it must not cause a refusal.
            self._ignore_slow_start = True
            candidates = self._scan(request, digests=digests)
        if not candidates:
            return self._refuse(request)
        return self._pick(candidates)

    def choose_queue(self, request):
        """Return `Chosen` for the shortest wait, or `NoTarget`.

        The target may be full. Targets without a load report and targets
        that the request must avoid after a refusal are left out. The
        request's deadline is not checked: a report covers the whole queue,
        and only the target can tell how long the calls of one team wait.
        """
        waits_s = {
            state.target_id: self._estimate_wait(state)
            for state in self._registry.get_usable()
            if self._may_serve(state, request)
            and state.may_queue(
                team=request.team,
                priority=request.priority,
                now_s=self._now_s,
            )
        }
        candidates = [
            decisions.Candidate(
                target_id=target_id,
                score_s=wait_s,
                wait_s=wait_s,
                matched_digests=0,
                reason=decisions.ChoiceReason.QUEUED,
            )
            for target_id, wait_s in waits_s.items()
        ]
        if not candidates:
            return self._refuse(request)
        return self._pick(candidates)

    def _estimate_wait(self, state):
        return state.estimate_wait(
            self._estimate_load(state),
            call_s=self._summary.mean_call_s,
            now_s=self._now_s,
        )

    def _estimate_load(self, state):
        return state.estimate_load(
            mean_occupancy=self._summary.mean_occupancy, now_s=self._now_s
        )

    def _scan(self, request, *, digests):
        reason = decisions.ChoiceReason.SCANNED
        found_by_id = {
            state.target_id: (state, reason)
            for state in self._registry.get_usable()
        }
        return self._score_all(found_by_id, request, digests=digests)

    def _score_all(self, found_by_id, request, *, digests):
        candidates = []
        for state, reason in found_by_id.values():
            if not self._may_serve(state, request):
                continue
            candidate = self._score(
                state, request, digests=digests, reason=reason
            )
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def _may_serve(self, state, request):
        if state.target_id in request.excluded_target_ids:
            return False
        return state.serves(request.model)

    def _score(self, state, request, *, digests, reason):
        """Return a candidate, or None if the target can't take the call."""
        load = self._estimate_load(state)
        wait_s = state.estimate_wait(
            load, call_s=self._summary.mean_call_s, now_s=self._now_s
        )
        if not state.has_capacity(
            load,
            team=request.team,
            priority=request.priority,
            now_s=self._now_s,
            ignore_slow_start=self._ignore_slow_start,
        ):
            return None
        if self._lowest_wait_s is None or wait_s < self._lowest_wait_s:
            self._lowest_wait_s = wait_s
        if wait_s > request.remaining_s:
            return None
        matched_digests = self._prefix_index.count_matched(
            target_id=state.target_id, digests=digests
        )
        score_s = scoring.score_target(
            state,
            load=load,
            wait_s=wait_s,
            saving_s=self._estimate_saving(
                state,
                matched_digests=matched_digests,
                unmatched=len(digests) - matched_digests,
                reason=reason,
            ),
            summary=self._summary,
            settings=self._settings,
            now_s=self._now_s,
        )
        if reason is decisions.ChoiceReason.WARM_UP:
            score_s -= self._settings.warm_up_bonus_s
        return decisions.Candidate(
            target_id=state.target_id,
            score_s=score_s,
            wait_s=wait_s,
            matched_digests=matched_digests,
            reason=reason,
        )

    def _estimate_saving(self, state, *, matched_digests, unmatched, reason):
        """Return the time that the prefix cache may save, in seconds.

        The target chosen by affinity may also have cached digests that no
        cache event has reported.
        """
        expected_hits = 0.0
        if matched_digests:
            expected_hits = (
                matched_digests
                * self._prefix_index.get_confidence(target_id=state.target_id)
            )
        saving_s = 0.0
        if reason is decisions.ChoiceReason.AFFINITY:
            expected_hits += unmatched * self._settings.affinity_hit_ratio
            saving_s = self._settings.affinity_bonus_s
        return saving_s + scoring.estimate_saving(
            expected_hits, settings=self._settings
        )

    def _pick(self, candidates):
        best_s = min(candidate.score_s for candidate in candidates)
        tolerance_s = max(
            self._settings.near_equal_s,
            abs(best_s) * self._settings.near_equal_ratio,
        )
        near_equal = [
            candidate
            for candidate in candidates
            if candidate.score_s <= best_s + tolerance_s
        ]
        choice = self._random_source.choose_item(near_equal)
        state = self._registry.get(choice.target_id)
        return decisions.Chosen(
            target_id=state.target_id,
            incarnation=state.incarnation,
            address=state.address,
            reason=choice.reason,
            candidates=tuple(candidates),
        )

    def _refuse_without_usable(self):
        reason = decisions.NoTargetReason.ALL_OUT
        if not len(self._registry):
            reason = decisions.NoTargetReason.NO_TARGETS
        return decisions.NoTarget(
            reason=reason, retry_after_s=self._settings.retry_after_out_s
        )

    def _refuse(self, request):
        usable = self._registry.get_usable()
        remaining = [
            state
            for state in usable
            if state.target_id not in request.excluded_target_ids
        ]
        reason = decisions.NoTargetReason.OVERLOADED
        if not remaining:
            reason = decisions.NoTargetReason.ALL_EXCLUDED
        elif not any(state.serves(request.model) for state in remaining):
            reason = decisions.NoTargetReason.NOT_LOADED
        elif self._lowest_wait_s is not None:
            reason = decisions.NoTargetReason.DEADLINE
        elif all(state.is_cold for state in remaining):
            reason = decisions.NoTargetReason.ALL_COLD
        return decisions.NoTarget(
            reason=reason, retry_after_s=self._estimate_retry(remaining)
        )

    def _estimate_retry(self, states):
        """Return the time until capacity is expected, in seconds.

        The time is randomised, so that callers don't all retry at once.
        """
        settings = self._settings
        waits_s = [self._estimate_wait(state) for state in states]
        retry_s = max(
            settings.retry_after_minimum_s, min(waits_s, default=0.0)
        )
        retry_s = min(retry_s, settings.retry_after_limit_s)
        return retry_s * (1.0 + 0.5 * self._random_source.next_float())
