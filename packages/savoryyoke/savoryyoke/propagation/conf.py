"""Hold the default settings of propagation."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Set the periods and bounds of the spread of configuration.

    ``readers`` processes of each data centre watch the platform, each call
    for at most ``watch_s``. No process calls the platform more than once in
    ``call_spacing_s``; after a failed or stale answer the pause doubles up
    to ``backoff_limit_s``. A fetch from a peer ends after ``fetch_s``.

    A starting process asks ``peers_asked`` peers, listens to others for
    ``listen_s`` at least and waits ``answer_s`` at most. It waits
    ``catch_up_s`` at most for documents that those peers have in force.
    Without any peer's help it reads the platform after ``fallback_s``.
    """

    readers: int = 2
    watch_s: float = 20.0
    watch_grace_s: float = 5.0
    call_spacing_s: float = 2.0
    backoff_limit_s: float = 8.0
    fetch_s: float = 3.0
    fetch_retry_s: float = 0.3
    fetch_retry_limit_s: float = 2.4
    candidates_limit: int = 8
    serves_limit: int = 4
    peers_asked: int = 5
    peers_asked_limit: int = 15
    peers_asked_again: int = 2
    listen_s: float = 1.0
    answer_s: float = 3.0
    catch_up_s: float = 15.0
    fallback_s: float = 8.0
    fallback_jitter_s: float = 4.0
    ask_again_s: float = 5.0
    document_limit_bytes: int = 1_048_576


DEFAULTS = Settings()
