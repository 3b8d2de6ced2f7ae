"""Hold the default settings of membership."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Set the periods and bounds of failure detection.

    ``tick_s`` is the period at which the owner sends ``Ticked``; one probe
    leaves on each tick. A probe without an answer is handed to ``relays``
    other members after ``direct_timeout_s`` and fails after
    ``probe_timeout_s``; a relay reports after ``relay_timeout_s`` that it
    has no answer either. ``suspicion_s`` is the time that a suspected member
    has to refute. The timeouts grow with the local health score, which is
    at most ``health_limit``. A gap between own ticks above ``tick_gap_s``, or
    no acknowledgement for ``silence_s``, makes the process suspect itself
    until ``confirmations`` distinct members have answered.
    """

    tick_s: float = 0.25
    direct_timeout_s: float = 0.4
    relay_timeout_s: float = 0.2
    probe_timeout_s: float = 0.9
    relays: int = 3
    fixed_subjects: int = 2
    suspicion_s: float = 1.5
    health_limit: int = 4
    tick_gap_s: float = 1.0
    silence_s: float = 1.5
    confirmations: int = 2
    refresh_probes: int = 4
    # One transmission budget of an update is this factor times log2(members).
    retransmit_factor: float = 1.5
    # Those who heard of the suspicion time the failure themselves.
    failure_transmissions: int = 3
    updates_limit_bytes: int = 1_100
    # Queued updates above which each tick sends further probes.
    burst_updates: int = 24
    burst_probes: int = 1
    # Members not alive that an answer to a joining member names.
    joining_sample: int = 8
    # Messages that carry the versions in full after a difference was seen.
    summary_repeats: int = 8
    versions_limit: int = 16
    attachments_limit_bytes: int = 256
    failed_probe_ticks: int = 8
    tombstone_s: float = 120.0
    vm_list_limit: int = 20_000
    # Share of answering members that one VM list may drop.
    dropped_share_limit: float = 0.5


DEFAULTS = Settings()
