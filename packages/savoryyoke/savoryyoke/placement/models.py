"""Published targets, and the outcomes of tries and placements."""

import dataclasses
import enum

from savoryyoke.published import models as published_models


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Describe one incarnation of a target.

    ``incarnation`` changes with each start of the target's process, and
    ``revision`` is the revision of its published value. ``release`` names the
    software version that it runs. ``slots`` is the number of requests that it
    runs at once. ``is_in_service`` is false while it can't run requests, for
    example for a rank of an incomplete group. ``group`` names the group of
    engines that the target belongs to, as the rank ``group_rank``, and
    ``group_epoch`` counts the formations of that group; a target without a
    group has '' and 0.
    """

    target_id: str
    incarnation: int
    service_name: str
    host: str
    port: int
    data_centre: str
    region: str
    slots: int
    is_draining: bool
    is_in_service: bool
    revision: published_models.Revision = published_models.NO_REVISION
    release: str = ''
    group: str = ''
    group_epoch: int = 0
    group_rank: int = 0


class TryResult(enum.Enum):
    """List the ways in which a try at a target ends.

    ``PAUSED`` is a refusal by a target that requests a pause.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed-out'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    PAUSED = 'paused'
    MISDIRECTED = 'misdirected'
    WITHDRAWN = 'withdrawn'


class RefusalReason(enum.Enum):
    """List the reasons for the refusal of a request."""

    NO_TARGET = 'no-target'
    QUEUE_TOO_LONG = 'queue-too-long'
    WAITED_TOO_LONG = 'waited-too-long'
    NO_OTHER_TARGET = 'no-other-target'
    ALL_PAUSED = 'all-paused'
    RATE_LIMITED = 'rate-limited'
    CAPACITY_RESERVED = 'capacity-reserved'
