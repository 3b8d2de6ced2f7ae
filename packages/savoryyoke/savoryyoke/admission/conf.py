"""Define the defaults of the admission package."""

import dataclasses

from savoryyoke.admission import exceptions

DEFAULT_RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 60.0
# Within one team, a call starts before calls of the next lower priority that
# arrived up to this much earlier. Calls that arrived before that start first,
# so a lower priority adds at most this delay per level.
PRIORITY_HEAD_START_S = 30.0
SERVICE_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionLimits:
    """Limit the calls that one target runs and queues.

    ``max_concurrency`` is the limit that operators set,
    ``initial_concurrency`` the limit of a cold target, and ``queue_limit``
    the number of calls that may wait.
    """

    max_concurrency: int = 8
    initial_concurrency: int = 1
    queue_limit: int = 64

    def __post_init__(self):
        if not 1 <= self.initial_concurrency <= self.max_concurrency:
            raise exceptions.InvalidLimits(
                'initial_concurrency must lie between 1 and max_concurrency'
            )
        if self.queue_limit < 0:
            raise exceptions.InvalidLimits('queue_limit must not be negative')


@dataclasses.dataclass(frozen=True, kw_only=True)
class WarmUpPolicy:
    """Configure how the concurrency limit adapts to the back end.

    Ratios compare recent latencies with the target's own baseline. Up to
    ``healthy_ratio`` the limit grows, from ``slow_ratio`` on it is cut, and
    in between it stays the same. If latencies reach ``cold_ratio``
    ``very_slow_epochs_to_turn_cold`` times in a row, despite a cut each
    time, the target counts as cold. Steps are in calls per successful
    completion. Each crash of the back end halves them until
    ``successes_to_forget_crashes`` completions have succeeded since then.
    """

    healthy_ratio: float = 1.5
    slow_ratio: float = 2.0
    cold_ratio: float = 3.0
    slow_start_step: float = 0.5
    steady_step: float = 1.0
    ceiling_step: float = 0.05
    slow_cut_factor: float = 0.75
    failure_cut_factor: float = 0.5
    ceiling_share: float = 0.9
    very_slow_epochs_to_turn_cold: int = 3
    failed_share_to_cut: float = 0.3
    failed_share_to_turn_cold: float = 0.5
    min_samples_to_cut: int = 3
    successes_to_turn_warm: int = 8
    max_counted_crashes: int = 4
    successes_to_forget_crashes: int = 400
    idle_period_s: float = 60.0
    recent_smoothing: float = 0.3
    failure_smoothing: float = 0.2
    baseline_smoothing: float = 0.05
    degraded_baseline_smoothing: float = 0.005
