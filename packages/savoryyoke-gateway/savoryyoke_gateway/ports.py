"""Define the interfaces that an adapter of a platform implements."""

import dataclasses
import typing

from savoryyoke.catalogue import models as catalogue_models
from savoryyoke.intake import conf as intake_conf
from savoryyoke.placement import models as placement_models
from savoryyoke.published import holds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self):
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Hold the settings of one gateway process.

    Every entry uses the same ``peer_port`` and ``pace_port``; the latter
    receives reports about slow targets. In the time window of the retry
    limit, all entries together may send ``retry_ratio`` repeated tries per
    request and ``retry_slack`` more. ``grace_s`` is the time in seconds
    between the signal to stop and the kill. ``hold_times`` says how long
    published values outlast a platform that was restored without them.
    The process stays below ``memory_mb`` and ``max_fds`` open descriptors.
    """

    vm_id: str
    data_centre: str
    caller_address: Address
    directory_address: Address
    ready_address: Address
    metrics_address: Address
    peer_host: str
    peer_port: int
    pace_port: int
    seed_hosts: tuple[str, ...]
    grace_s: float
    retry_ratio: float
    retry_slack: float
    hold_times: holds.HoldTimes
    memory_mb: float = intake_conf.MEMORY_MB
    max_fds: float = intake_conf.MAX_FDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Describe a published value that is unusable as a whole or in part."""

    check_id: str
    key: str
    problem: str
    hint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Publication:
    """Hold the decoded published values.

    ``catalogue`` is None until one is published. Targets in
    ``closed_data_centres`` get no requests. ``ignored_targets`` are published
    as well, but the catalogue does not allow their use.
    """

    catalogue: catalogue_models.Catalogue | None
    targets: tuple[placement_models.Target, ...]
    closed_data_centres: frozenset[str]
    faults: tuple[Fault, ...]
    ignored_targets: tuple[placement_models.Target, ...] = ()

    def open_targets(self, targets):
        """Return those of the targets whose data centre is not closed."""
        return [
            target
            for target in targets
            if target.data_centre not in self.closed_data_centres
        ]


class Source(typing.Protocol):
    """Read published values.

    Both methods raise ``SourceUnavailable`` if the source can't be read.
    ``read_changes`` raises ``HistoryLost`` if the source no longer has all
    changes since ``after``, or if it has begun another epoch.
    """

    async def read_snapshot(self):
        """Return a ``published.models.Snapshot`` of all values."""

    async def read_changes(self, *, after, wait_s):
        """Return ``published.models.Changes`` since the revision ``after``.

        Wait up to ``wait_s`` seconds for the first change.
        """


class Interpreter(typing.Protocol):
    """Decode published values."""

    def interpret(self, items_by_key):
        """Return the ``Publication`` that the items contain."""

    def is_leased(self, key):
        """Return whether the item of ``key`` has a lease that can expire."""

    def read_version(self, item):
        """Return a tuple that grows with the versions of an item's content.

        Return None for content without a version.
        """


class Translator(typing.Protocol):
    """Translate between HTTP messages and the gateway's classes."""

    def read_request(self, scope):
        """Return the ``CallerRequest`` of an ASGI scope.

        Raise ``MalformedRequest`` if it can't be parsed.
        """

    def write_try(self, request, terms):
        """Return the headers of a request to a target.

        ``terms`` is a ``TryTerms``.
        """

    def read_head(self, status, headers, *, request):
        """Return the ``AnswerHead`` of a target's answer."""

    def write_refusal(self, *, retry_after_s):
        """Return the headers of a refusal.

        They tell the caller to retry after ``retry_after_s`` seconds.
        """
