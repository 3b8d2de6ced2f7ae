"""Define the default limits of non-idempotent calls."""

import dataclasses

MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerLimits:
    """Bound what a ledger keeps and for how long.

    Keys are accepted for ``accept_windows`` windows and their records are
    kept for ``record_windows`` windows of ``window_ms``. A seal voids every
    attempt that arrives within ``seal_hold_ms`` after it. After
    ``seal_fold_ms`` the record of a seal is dropped and the seal floor of
    its incarnation is raised instead; when the ledger is full, that happens
    after ``seal_early_fold_ms``. ``table_limit`` bounds the incarnations
    that one process keeps records of and ``parked_limit`` the messages that
    wait for the end of an export.
    """

    window_ms: int = 30_000
    accept_windows: int = 20
    record_windows: int = 60
    seal_hold_ms: int = 1_000
    seal_fold_ms: int = 60_000
    seal_early_fold_ms: int = 5_000
    retry_after_s: float = 2.0
    record_limit: int = 50_000
    table_limit: int = 16
    attempts_per_key_limit: int = 8
    answer_limit_bytes: int = 64 * 1024
    answers_limit_bytes: int = 16 * 1024 * 1024
    parked_limit: int = 1_024


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptLimits:
    """Bound an attempt at the entry.

    A seal is requested ``seal_margin_s`` before the deadline. The clocks of
    two processes drift apart by at most ``clock_drift`` (a ratio). A pause
    of the entry longer than ``pause_threshold_s`` is detected; requests read
    in the ``pause_recovery_s`` after it may have arrived before the pause.
    ``forwarded_limit`` and ``forwarded_limit_bytes`` bound the answers that an
    entry keeps.
    """

    seal_margin_s: float = 0.05
    redirect_limit: int = 8
    clock_drift: float = 0.001
    pause_threshold_s: float = 0.25
    pause_recovery_s: float = 2.0
    forwarded_limit: int = 4_096
    forwarded_limit_bytes: int = 8 * 1024 * 1024
    routes_limit: int = 8_192
