"""Define the state of a request while an entry forwards it."""

import dataclasses

from savoryyoke.catalogue import models as catalogue_models
from savoryyoke.forwarding import buffers as forwarding_buffers
from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import ledger as forwarding_ledger
from savoryyoke.placement import decisions as placement_decisions
from savoryyoke.placement import models as placement_models

from savoryyoke_gateway import requests


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold one request that this entry forwards.

    ``arrived_s`` and ``deadline_s`` are times on the entry's clock,
    ``waited_s`` is the time that the request waited for a target.
    ``first_failure_reason`` states how the first unsuccessful try ended.
    ``buffers`` account for the answers that it holds.
    ``content_digest`` identifies the content of the request; later attempts
    of the caller have the same digest. ``prompt_part_digests`` identify the
    parts of its prompt that other requests share. Targets that run one of
    ``withheld_releases`` must not get the request, since requests that have
    the digests of ``withheld_pattern`` crash them. A request that is refused
    for want of capacity has an ``urgency_level``, where 0 is the most urgent,
    and ``limit_share`` is the lowest limit of a group of engines then, as a
    share of its slots.
    """

    request: requests.CallerRequest
    body: bytes
    channel: object
    route: catalogue_models.Route
    team: catalogue_models.Team | None
    service_name: str
    content_digest: bytes
    prompt_part_digests: frozenset[bytes]
    ledger: forwarding_ledger.RequestLedger
    arrived_s: float
    deadline_s: float
    placement_id: str
    answer: requests.Answer | None = None
    buffers: list[forwarding_buffers.Buffer] = dataclasses.field(
        default_factory=list
    )
    target_ids: list[str] = dataclasses.field(default_factory=list)
    waited_s: float = 0.0
    events_sent: int = 0
    status: int = 0
    outcome: str = 'caller-left'
    reason: str = ''
    first_failure_reason: str = ''
    retry_after_s: float | None = None
    urgency_level: int | None = None
    limit_share: float | None = None
    withheld_releases: frozenset[str] = frozenset()
    withheld_pattern: frozenset[bytes] = frozenset()

    @property
    def priority(self):
        """Return the priority; 0 is the highest."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def is_stream(self):
        """Return whether the answer is a stream of events."""
        return self.route.kind is catalogue_models.RequestKind.STREAM

    @property
    def regions(self):
        """Return the regions that may run the request; empty for any."""
        return self.route.regions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """Hold the placement of a stream that continues at another target."""

    placement: placement_decisions.Place
    decision: decisions.TryAnother


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """Hold the state of one try; its times are on the entry's clock.

    ``sent_s`` is when the request was sent and ``head_s`` when the head of
    the answer arrived. ``last_progress_s`` is when the request was sent
    or last brought events, and ``last_event_s`` when the last event arrived.
    ``is_awaiting_data`` is true while no received data
    is left to forward. ``move`` is the placement at which a stream continues
    that leaves its target. ``at_fault_target_id`` is the target that a refusal
    names as its cause. ``buffer`` accounts for what is held of the answer.
    """

    started_s: float
    buffer: forwarding_buffers.Buffer
    sent_s: float | None = None
    head_s: float | None = None
    result: placement_models.TryResult = placement_models.TryResult.WITHDRAWN
    reason: str = ''
    last_progress_s: float | None = None
    last_event_s: float | None = None
    is_awaiting_data: bool = False
    move: Move | None = None
    at_fault_target_id: str | None = None

    @property
    def first_byte_s(self):
        """Return the seconds until the answer's head, or None without one."""
        if self.head_s is None:
            return None
        return self.head_s - self.started_s
