"""Select the targets that new idempotency keys are bound to."""

from savoryyoke.routing import decisions


def choose_bindings(*, registry, random_source, summary, settings, now_s):
    """Return up to ``bindings_count`` bindings, the preferred one first.

    The order is random, weighted by free capacity and by proximity, so that
    the callers of many entries spread over the targets. ``now_s`` is the
    monotonic time in seconds.
    """
    weighted_states = []
    for state in registry.get_usable():
        weight = _estimate_weight(
            state, summary=summary, settings=settings, now_s=now_s
        )
        if weight > 0.0:
            # Weighted random sampling: sort by u ** (1 / weight), u in [0, 1).
            random_rank = random_source.next_float() ** (1.0 / weight)
            weighted_states.append((random_rank, state))
    if not weighted_states:
        # Full targets are offered too: without a binding the caller could
        # not even get a reliable refusal.
        weighted_states = [
            (random_source.next_float(), state)
            for state in registry.get_usable()
        ]
    weighted_states.sort(key=lambda item: -item[0])
    return tuple(
        decisions.Binding(
            target_id=state.target_id,
            incarnation=state.incarnation,
            address=state.address,
            lifetime_s=settings.binding_lifetime_s,
        )
        for _, state in weighted_states[: settings.bindings_count]
    )


def _estimate_weight(state, *, summary, settings, now_s):
    """Return the free capacity scaled by proximity, 0 for a full target.

    Free places in the queue get a low weight, so that they are used last.
    """
    occupancy_limits = settings.occupancy_limits
    if state.is_backing_off_any_team(
        priority=len(occupancy_limits) - 1, now_s=now_s
    ):
        return 0.0
    quota = state.get_quota(now_s=now_s)
    if quota is not None and state.own_calls >= quota:
        return 0.0
    load = state.estimate_load(
        mean_occupancy=summary.mean_occupancy, now_s=now_s
    )
    free_capacity = max(0.0, state.limit - load)
    if quota is not None:
        free_capacity = min(free_capacity, quota - state.own_calls)
    if not state.is_cold:
        free_queue_capacity = max(
            0.0, occupancy_limits[-1] * state.limit - load
        )
        free_capacity += settings.binding_queue_weight * free_queue_capacity
    distance_factor = settings.default_distance_s / (
        settings.default_distance_s + state.distance_s
    )
    return free_capacity * distance_factor
