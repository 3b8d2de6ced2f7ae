"""Define the settings of membership and their defaults."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Configure the periods and limits of failure detection.

    ``tick_s`` is the period at which the owner sends ``Ticked``; one probe
    is sent on each tick. If there is no answer within ``direct_timeout_s``,
    ``relay_count`` other members are requested to probe the same member. The
    probe fails after ``probe_timeout_s``; a relay without an answer reports
    so after ``relay_timeout_s``. A suspected member that does not refute
    within ``suspicion_s`` is declared failed. The timeouts grow with the
    local health score, which is at most ``health_limit``. The process becomes
    suspect after more than ``tick_gap_s`` between two of its ticks, or after
    more than ``silence_s`` without an acknowledgement, and remains so until
    ``confirmation_count`` distinct members, or all reachable ones if there are
    fewer, have answered.
    """

    tick_s: float = 0.25
    direct_timeout_s: float = 0.4
    relay_timeout_s: float = 0.2
    probe_timeout_s: float = 0.9
    relay_count: int = 3
    # Number of next members on the hash ring that are probed in rotation.
    fixed_subjects: int = 2
    suspicion_s: float = 1.5
    health_limit: int = 4
    tick_gap_s: float = 1.0
    silence_s: float = 1.5
    confirmation_count: int = 2
    # Random members that are probed after a pause, besides the suspected ones.
    refresh_probes: int = 4
    # Each update is sent on this factor times log2(members) messages.
    retransmit_factor: float = 1.5
    # Members that received the suspicion declare the failure on their own, so
    # a failure report needs fewer transmissions.
    failure_transmissions: int = 3
    updates_limit_bytes: int = 1_100
    # Above ``burst_updates`` queued updates, each tick sends ``burst_probes``
    # additional probes.
    burst_updates: int = 24
    burst_probes: int = 1
    # Maximum number of answering members, and of members that failed or left,
    # in an answer to a joining member.
    joining_sample: int = 8
    # Number of messages that carry the summary after it changed or after a
    # peer showed other versions.
    summary_repeats: int = 8
    versions_limit: int = 16
    attachments_limit_bytes: int = 256
    # Ticks between two pings to members that failed or left.
    gone_ping_ticks: int = 8
    # Time after which members that failed or left are removed.
    tombstone_s: float = 120.0
    vm_list_limit: int = 20_000
    # Greatest share of answering members that a VM list may omit.
    dropped_share_limit: float = 0.5


DEFAULTS = Settings()
