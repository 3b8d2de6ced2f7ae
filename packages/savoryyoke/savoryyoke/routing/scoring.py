"""Score targets by the expected time to the first token."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSummary:
    """Hold the means of a service over the usable targets of an entry.

    ``mean_occupancy`` is the reported load as a multiple of the limit;
    ``cold_states`` are the targets that are cold or have no report.
    ``mean_token_s`` is 0 if no time between tokens was reported.
    """

    mean_occupancy: float
    mean_first_token_s: float
    mean_call_s: float
    mean_token_s: float
    cold_states: tuple


def summarize(states, *, settings, now_s):
    """Return the `ServiceSummary` of some targets."""
    load = limit = 0
    for state in states:
        if state.report is not None:
            load += state.report.running + state.report.queued
            limit += state.report.limit
    count = max(1, len(states))
    first_token_s = sum(
        state.read_first_token(
            now_s=now_s, default=settings.default_first_token_s
        )
        for state in states
    )
    call_s = sum(
        state.read_call(now_s=now_s, default=settings.default_call_s)
        for state in states
    )
    return ServiceSummary(
        mean_occupancy=load / limit if limit else 0.0,
        mean_first_token_s=first_token_s / count,
        mean_call_s=call_s / count,
        mean_token_s=_average_tokens(states),
        cold_states=tuple(state for state in states if state.is_cold),
    )


def _average_tokens(states):
    """Return the mean time between tokens in seconds, 0 without samples."""
    intervals_s = [
        state.last_token_s
        for state in states
        if state.last_token_s is not None
    ]
    return sum(intervals_s) / len(intervals_s) if intervals_s else 0.0


def _penalize_slow_tokens(state, *, summary, settings, now_s):
    mean_interval_s = summary.mean_token_s
    if not mean_interval_s:
        return 0.0
    interval_s = state.read_token(now_s=now_s, default=mean_interval_s)
    slowness = max(0.0, interval_s / mean_interval_s - 1.0)
    return min(1.0, slowness) * settings.token_slowness_penalty_s


def score_target(state, *, load, wait_s, saving_s, summary, settings, now_s):
    """Return the expected time to the first token, in seconds.

    ``load`` is the expected number of calls at the target, ``wait_s`` the
    expected wait, and ``saving_s`` the time that its prefix cache saves.
    """
    first_token_s = state.read_first_token(
        now_s=now_s, default=summary.mean_first_token_s
    )
    excess_s = first_token_s - summary.mean_first_token_s
    straggler_s = min(max(0.0, excess_s), settings.straggler_limit_s)
    occupancy = load / max(1, state.limit)
    score_s = wait_s + state.distance_s + straggler_s - saving_s
    score_s += summary.mean_first_token_s * (1.0 + occupancy)
    score_s += _penalize_slow_tokens(
        state, summary=summary, settings=settings, now_s=now_s
    )
    # A target whose calls fail immediately would otherwise look idle.
    failures = state.read_failures(now_s=now_s)
    score_s += failures * settings.failure_penalty_s
    if state.is_cold:
        score_s += settings.cold_penalty_s
    return score_s + _penalize_kv_pressure(state, settings=settings)


def _penalize_kv_pressure(state, *, settings):
    if state.report is None:
        return 0.0
    bound = settings.kv_pressure_below_ratio
    shortage_ratio = max(0.0, 1.0 - state.report.kv_free_ratio / bound)
    return shortage_ratio * settings.kv_pressure_penalty_s


def estimate_saving(digests_count, *, settings):
    """Return the time that cached digests save, in seconds, up to a limit.

    ``digests_count`` is an expected number and may be fractional.
    """
    saving_s = digests_count * settings.block_prefill_s
    return min(saving_s, settings.prefix_saving_limit_s)
