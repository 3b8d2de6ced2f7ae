"""Targets as they are published, and requests that wait for one."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Describe one incarnation of a target.

    ``incarnation`` changes with each start of the target's process, and
    ``revision`` is that of its published entry.
    ``release`` names the version of what it runs.
    ``is_in_service`` is false while it can't run anything, such as a rank
    of a group that is not complete.
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
    revision: int = 0
    release: str = ''


class TryResult(enum.Enum):
    """Say how a try at a target ended.

    ``PAUSED`` is a refusal by a target that asks for a pause.
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
    """Say why a request was refused."""

    NO_TARGET = 'no-target'
    QUEUE_TOO_LONG = 'queue-too-long'
    WAITED_TOO_LONG = 'waited-too-long'
    NO_OTHER_TARGET = 'no-other-target'
    ALL_PAUSED = 'all-paused'
