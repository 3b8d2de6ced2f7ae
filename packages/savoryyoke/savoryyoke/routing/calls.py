"""Record what was predicted for a call when it was sent."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Hold a call in flight and the predictions made when it was sent.

    ``matched_digests`` counts the leading prefix digests that the target was
    expected to have cached; ``predicted_wait_s`` is the expected wait.
    """

    target_id: str
    incarnation: int
    priority: int
    team: str
    digests: tuple[bytes, ...]
    matched_digests: int
    predicted_wait_s: float


def start_call(dispatched, *, state, prefix_index, summary, settings, now_s):
    """Return the `Call` for a `Dispatched` event."""
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
        matched_digests=prefix_index.count_matched(
            target_id=state.target_id, digests=digests
        ),
        predicted_wait_s=state.estimate_wait(
            load, call_s=summary.mean_call_s, now_s=now_s
        ),
    )
