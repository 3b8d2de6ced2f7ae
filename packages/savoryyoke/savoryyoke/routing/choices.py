"""Choose among a few candidate targets of a service."""

from savoryyoke.routing import decisions
from savoryyoke.routing import finders
from savoryyoke.routing import scoring


class Chooser:
    """Make one choice from the state of a router."""

    def __init__(self, *, registry, beliefs, draws, summary, settings, now_s):
        self._registry = registry
        self._beliefs = beliefs
        self._draws = draws
        self._summary = summary
        self._settings = settings
        self._now_s = now_s
        self._lowest_wait_s = None
        self._unproven = False

    def choose(self, request):
        """Return `Chosen` or `NoTarget` for a request."""
        usable = self._registry.get_usable()
        if not usable:
            return self._refuse_all_out()
        digests = request.prefix_digests[: self._settings.digests_limit]
        finder = finders.CandidateFinder(
            registry=self._registry,
            beliefs=self._beliefs,
            draws=self._draws,
            summary=self._summary,
            settings=self._settings,
            now_s=self._now_s,
        )
        found = finder.find(request, digests=digests)
        candidates = self._score_all(found, request, digests=digests)
        if not candidates:
            candidates = self._scan(request, digests=digests)
        if not candidates:
            # Slow starts spread work; they are no reason to refuse it.
            self._unproven = True
            candidates = self._scan(request, digests=digests)
        if not candidates:
            return self._refuse(request)
        return self._pick(candidates)

    def choose_queue(self, request):
        """Return the target with the shortest wait, room or not.

        Targets that no report has told of, or that have refused such work
        a moment ago, are left out. Whether the wait is too long is for the
        target to say: reports tell of its whole queue, not of a team's
        place in it.
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
        found = {
            state.target_id: (state, reason)
            for state in self._registry.get_usable()
        }
        return self._score_all(found, request, digests=digests)

    def _score_all(self, found, request, *, digests):
        candidates = []
        for state, reason in found.values():
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
        """Return a candidate, or None where the target has no room."""
        load = self._estimate_load(state)
        wait_s = state.estimate_wait(
            load, call_s=self._summary.mean_call_s, now_s=self._now_s
        )
        if not state.has_room(
            load,
            team=request.team,
            priority=request.priority,
            now_s=self._now_s,
            unproven=self._unproven,
        ):
            return None
        if self._lowest_wait_s is None or wait_s < self._lowest_wait_s:
            self._lowest_wait_s = wait_s
        if wait_s > request.remaining_s:
            return None
        matched = self._beliefs.count_matched(
            target_id=state.target_id, digests=digests
        )
        score_s = scoring.score_target(
            state,
            load=load,
            wait_s=wait_s,
            saving_s=self._estimate_saving(
                state,
                matched=matched,
                missing=len(digests) - matched,
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
            matched_digests=matched,
            reason=reason,
        )

    def _estimate_saving(self, state, *, matched, missing, reason):
        """Return what the target's cache is expected to save, in seconds.

        The affine target may well hold what no event has told of.
        """
        likely = 0.0
        if matched:
            likely = matched * self._beliefs.get_confidence(
                target_id=state.target_id
            )
        saving_s = 0.0
        if reason is decisions.ChoiceReason.AFFINITY:
            likely += missing * self._settings.affinity_trust
            saving_s = self._settings.affinity_bonus_s
        return saving_s + scoring.estimate_saving(
            likely, settings=self._settings
        )

    def _pick(self, candidates):
        best_s = min(candidate.score_s for candidate in candidates)
        slack_s = max(
            self._settings.near_equal_s,
            abs(best_s) * self._settings.near_equal_ratio,
        )
        near = [
            candidate
            for candidate in candidates
            if candidate.score_s <= best_s + slack_s
        ]
        picked = self._draws.pick(near)
        state = self._registry.get(picked.target_id)
        return decisions.Chosen(
            target_id=state.target_id,
            incarnation=state.incarnation,
            address=state.address,
            reason=picked.reason,
            candidates=tuple(candidates),
        )

    def _refuse_all_out(self):
        reason = decisions.NoTargetReason.ALL_OUT
        if not len(self._registry):
            reason = decisions.NoTargetReason.NO_TARGETS
        return decisions.NoTarget(
            reason=reason, retry_after_s=self._settings.retry_after_out_s
        )

    def _refuse(self, request):
        usable = self._registry.get_usable()
        left = [
            state
            for state in usable
            if state.target_id not in request.excluded_target_ids
        ]
        reason = decisions.NoTargetReason.OVERLOADED
        if not left:
            reason = decisions.NoTargetReason.ALL_EXCLUDED
        elif not any(state.serves(request.model) for state in left):
            reason = decisions.NoTargetReason.NOT_LOADED
        elif self._lowest_wait_s is not None:
            reason = decisions.NoTargetReason.DEADLINE
        elif all(state.is_cold for state in left):
            reason = decisions.NoTargetReason.ALL_COLD
        return decisions.NoTarget(
            reason=reason, retry_after_s=self._estimate_retry(left)
        )

    def _estimate_retry(self, states):
        """Return when room is expected, spread so that callers differ."""
        settings = self._settings
        waits_s = [self._estimate_wait(state) for state in states]
        retry_s = max(
            settings.retry_after_minimum_s, min(waits_s, default=0.0)
        )
        retry_s = min(retry_s, settings.retry_after_limit_s)
        return retry_s * (1.0 + 0.5 * self._draws.draw())
