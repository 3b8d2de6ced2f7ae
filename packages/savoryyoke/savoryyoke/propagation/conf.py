"""Define the settings of propagation and their defaults."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Configure the periods and limits of the distribution of documents.

    ``reader_count`` processes of each data centre watch the platform; each
    call lasts at most ``watch_timeout_s``. No process calls the platform more
    than once in ``call_spacing_s``; after each failed or stale answer the
    delay doubles, up to ``backoff_limit_s``. A fetch from a peer times out
    after ``fetch_timeout_s``.

    A starting process requests the state of ``startup_peer_count`` peers, and
    of further ones for those that fail, up to ``startup_peer_limit``. It
    waits for answers for at least ``answer_wait_minimum_s`` and at most
    ``answer_wait_limit_s``, and at most ``catch_up_s`` for the documents that
    those peers have in force. If no configuration is in force after
    ``fallback_s`` plus a jitter, it reads the platform itself.

    If the newest pair of documents is refused, the process requests the state
    of ``repeat_peer_count`` peers every ``repeat_period_s``.
    """

    reader_count: int = 2
    watch_timeout_s: float = 20.0
    watch_grace_s: float = 5.0
    call_spacing_s: float = 2.0
    backoff_limit_s: float = 8.0
    fetch_timeout_s: float = 3.0
    fetch_retry_s: float = 0.3
    fetch_retry_limit_s: float = 2.4
    fetch_source_limit: int = 8
    open_transfer_limit: int = 4
    startup_peer_count: int = 5
    startup_peer_limit: int = 15
    repeat_peer_count: int = 2
    answer_wait_minimum_s: float = 1.0
    answer_wait_limit_s: float = 3.0
    catch_up_s: float = 15.0
    fallback_s: float = 8.0
    fallback_jitter_s: float = 4.0
    repeat_period_s: float = 5.0
    document_limit_bytes: int = 1_048_576


DEFAULTS = Settings()
