"""Remember what was foreseen of a call when it was sent."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Hold a call in flight and what its target was believed to do."""

    target_id: str
    incarnation: int
    priority: int
    team: str
    digests: tuple[bytes, ...]
    matched: int
    foreseen_wait_s: float


def start_call(dispatched, *, state, beliefs, summary, settings, now_s):
    """Return the call of a `Dispatched` event."""
    digests = dispatched.prefix_digests[: settings.digests_limit]
    load = state.estimate_load(
        mean_occupancy=summary.mean_occupancy, now_s=now_s
    )
    return Call(
        target_id=state.target_id,
        incarnation=state.incarnation,
        priority=dispatched.priority,
        team=dispatched.team,
        digests=digests,
        matched=beliefs.count_matched(
            target_id=state.target_id, digests=digests
        ),
        foreseen_wait_s=state.estimate_wait(
            load, call_s=summary.mean_call_s, now_s=now_s
        ),
    )
