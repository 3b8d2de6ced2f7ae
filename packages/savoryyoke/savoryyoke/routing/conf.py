"""Define the settings of routing and their defaults."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingSettings:
    """Hold the limits and weights of a router.

    ``occupancy_limits`` gives, by priority from the least important, the
    highest load of a target as a multiple of its concurrency limit.
    ``subset_size`` is the intended mean number of targets of an entry.
    ``cached_digests_limit`` bounds the index of one target, and
    ``digests_limit`` the digests used of one request.
    ``unreported_target_limit`` replaces the concurrency limit of a target
    that has not reported.
    """

    # Connections.
    subset_size: int = 40
    minimum_entries_per_target: int = 3
    near_share: float = 0.5

    # Sampling.
    random_candidates: int = 2
    prefix_candidates: int = 2
    affinity_steps: int = 3
    distinctive_targets_limit: int = 3
    affinity_load_factor: float = 1.25
    near_equal_s: float = 0.005
    near_equal_ratio: float = 0.1

    # Reported load.
    report_decay_s: float = 2.0
    report_stale_after_s: float = 3.0
    report_late_tolerance_s: float = 60.0
    report_margin_s: float = 0.005
    calls_limit: int = 100_000
    wait_limit_s: float = 3600.0
    tombstone_lifetime_s: float = 600.0

    # Score.
    default_first_token_s: float = 0.2
    default_call_s: float = 2.0
    default_distance_s: float = 0.002
    cold_penalty_s: float = 0.05
    failure_penalty_s: float = 5.0
    block_prefill_s: float = 0.005
    prefix_saving_limit_s: float = 0.3
    affinity_bonus_s: float = 0.01
    affinity_hit_ratio: float = 0.5
    kv_pressure_below_ratio: float = 0.1
    kv_pressure_penalty_s: float = 0.3
    latency_weight: float = 0.2
    latency_half_life_s: float = 10.0
    straggler_limit_s: float = 5.0
    token_half_life_s: float = 30.0
    token_slowness_penalty_s: float = 0.3

    # Cold targets.
    cold_rotation_s: float = 1.0
    # Share of requests, by priority, that try a cold target first.
    warm_up_shares: tuple[float, ...] = (1.0, 1.0, 0.1, 0.0)
    warm_up_bonus_s: float = 2.0
    unreported_target_limit: int = 1

    # Index of prefix caches.
    cached_digests_limit: int = 2000
    digests_limit: int = 64
    confidence_weight: float = 0.2
    confirmation_lifetime_s: float = 60.0

    # Refusals.
    occupancy_limits: tuple[float, ...] = (1.0, 1.5, 2.0, 3.0)
    retry_after_out_s: float = 5.0
    retry_after_minimum_s: float = 0.5
    retry_after_limit_s: float = 30.0
    back_off_limit_s: float = 5.0

    # Bindings of idempotency keys.
    binding_lifetime_s: float = 2.0
    bindings_count: int = 3
    binding_queue_weight: float = 0.01
