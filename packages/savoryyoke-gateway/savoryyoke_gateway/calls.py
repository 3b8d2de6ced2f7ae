"""What an entry keeps of a request on its way."""

import dataclasses

from savoryyoke.catalogue import models as catalogue_models
from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import ledger as forwarding_ledger
from savoryyoke.placement import decisions as placement_decisions
from savoryyoke.placement import models as placement_models

from savoryyoke_gateway import requests


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold one request on its way through this entry.

    ``first_cause`` is how the first try that brought no answer ended.
    ``content`` is a digest that further attempts of the caller share;
    targets that run one of ``withheld_releases`` must not get it.
    """

    request: requests.CallerRequest
    body: bytes
    channel: object
    route: catalogue_models.Route
    team: catalogue_models.Team | None
    service_name: str
    content: bytes
    ledger: forwarding_ledger.RequestLedger
    arrived_s: float
    ends_s: float
    placement_id: str
    answer: requests.Answer | None = None
    target_ids: list[str] = dataclasses.field(default_factory=list)
    waited_s: float = 0.0
    events_sent: int = 0
    status: int = 0
    outcome: str = 'caller-left'
    reason: str = ''
    first_cause: str = ''
    retry_after_s: float | None = None
    withheld_releases: frozenset[str] = frozenset()

    @property
    def is_stream(self):
        """Return whether the answer is a stream of events."""
        return self.route.kind is catalogue_models.RequestKind.STREAM

    @property
    def regions(self):
        """Return the regions that may run the request; empty for all."""
        return self.route.regions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """Hold the placement to which a stream moves."""

    placed: placement_decisions.Place
    decision: decisions.TryAnother


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """Hold the course of one try.

    ``stays`` rules a move to a faster target out. ``advanced_s`` is when a
    stream was sent or last brought events; ``is_waiting`` is true while
    nothing has been received that is still to be passed on. ``move`` is
    where a silent stream goes on.
    """

    started_s: float
    sent_s: float | None = None
    head_s: float | None = None
    result: placement_models.TryResult = placement_models.TryResult.WITHDRAWN
    reason: str = ''
    stays: bool = False
    advanced_s: float | None = None
    is_waiting: bool = False
    move: Move | None = None

    @property
    def first_byte_s(self):
        """Return the time to the answer's head, or None without one."""
        if self.head_s is None:
            return None
        return self.head_s - self.started_s
