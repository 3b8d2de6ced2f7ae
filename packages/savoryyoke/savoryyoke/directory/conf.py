"""Define the settings of the directory and their defaults."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectorySettings:
    """Hold the limits of a directory.

    ``load_steps`` and ``load_weights`` have the same length. An entry gets
    the weight at the index of the last step that its load has reached; the
    load is a share of its capacity, 0 to 1.
    """

    addresses_count: int = 3
    lifetime_s: float = 2.0
    notice_delay_s: float = 1.0
    drain_margin_s: float = 0.5
    retry_after_s: float = 1.0

    load_steps: tuple[float, ...] = (0.0, 0.7, 0.85, 0.95)
    load_weights: tuple[float, ...] = (1.0, 0.5, 0.2, 0.02)
    load_hysteresis: float = 0.05

    contact_window_s: float = 3.0
    pause_limit_s: float = 1.5
    minimum_peer_ratio: float = 0.25
    minimum_target_ratio: float = 0.25
    tombstone_lifetime_s: float = 600.0
