"""Hold the defaults of the admission package."""

import dataclasses

from savoryyoke.admission import exceptions

DEFAULT_RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 60.0
# Within one team, a priority level goes ahead of calls of the next lower
# level that arrived up to this much earlier. Older calls go first, so
# that a low priority waits at most this long per level.
PRIORITY_HEAD_START_S = 30.0
SERVICE_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionLimits:
    """Bound what one target runs and queues.

    ``max_concurrency`` is the operators' bound, ``initial_concurrency``
    what a cold target is given, ``queue_limit`` the number of calls that
    may wait.
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
    """State how the concurrency limit follows the evidence.

    Ratios compare recent latencies with the target's own baseline. Up to
    ``healthy_ratio`` the limit grows, from ``slow_ratio`` on it is cut,
    in between it holds. Where ``cold_ratio`` is still exceeded after
    ``very_slow_to_turn_cold`` cuts in a row, the target counts as cold.
    Steps are in calls per successful completion. Each crash of the back
    end halves them until ``successes_to_trust`` completions went well.
    """

    healthy_ratio: float = 1.5
    slow_ratio: float = 2.0
    cold_ratio: float = 3.0
    slow_start_step: float = 0.5
    steady_step: float = 1.0
    ceiling_step: float = 0.05
    slow_cut: float = 0.75
    failure_cut: float = 0.5
    ceiling_share: float = 0.9
    very_slow_to_turn_cold: int = 3
    failed_share_to_cut: float = 0.3
    failed_share_to_turn_cold: float = 0.5
    samples_to_judge: int = 3
    successes_to_be_warm: int = 8
    most_crashes: int = 4
    successes_to_trust: int = 400
    idle_period_s: float = 60.0
    recent_smoothing: float = 0.3
    failure_smoothing: float = 0.2
    baseline_smoothing: float = 0.05
    degraded_baseline_smoothing: float = 0.005
