"""Offer targets to bind new idempotency keys to."""

from savoryyoke.routing import decisions


def choose_bindings(*, registry, draws, summary, settings, now_s):
    """Return up to ``bindings_count`` bindings, the preferred one first.

    Targets are drawn at random, weighted by their free capacity, near ones
    first, so that callers of many entries spread over the targets.
    """
    weighted = []
    for state in registry.get_usable():
        weight = _weigh(state, summary=summary, settings=settings, now_s=now_s)
        if weight > 0.0:
            # A key drawn this way orders the targets by weight at random.
            key = draws.draw() ** (1.0 / weight)
            weighted.append((key, state))
    if not weighted:
        # A caller without a binding could not even be refused truthfully.
        weighted = [(draws.draw(), state) for state in registry.get_usable()]
    weighted.sort(key=lambda pair: -pair[0])
    return tuple(
        decisions.Binding(
            target_id=state.target_id,
            incarnation=state.incarnation,
            address=state.address,
            lifetime_s=settings.binding_lifetime_s,
        )
        for _, state in weighted[: settings.bindings_count]
    )


def _weigh(state, *, summary, settings, now_s):
    """Return the room for further calls, 0 where the target is full.

    Room in the queue counts for little, so that it is used last.
    """
    bounds = settings.occupancy_limits
    if state.is_held_for_any(priority=len(bounds) - 1, now_s=now_s):
        return 0.0
    quota = state.get_quota(now_s=now_s)
    if quota is not None and state.own_calls >= quota:
        return 0.0
    load = state.estimate_load(
        mean_occupancy=summary.mean_occupancy, now_s=now_s
    )
    room = max(0.0, state.limit - load)
    if quota is not None:
        room = min(room, quota - state.own_calls)
    if not state.is_cold:
        queue_room = max(0.0, bounds[-1] * state.limit - load)
        room += settings.binding_queue_weight * queue_room
    nearness = settings.default_distance_s / (
        settings.default_distance_s + state.distance_s
    )
    return room * nearness
