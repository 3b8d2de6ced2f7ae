"""What an adapter of a platform provides."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Hold what one agent is told at its start.

    ``seed_hosts`` are hosts of entries; ``peer_port`` is the same on all,
    and entries hear of slow targets at ``pace_port``. ``own_address`` is
    that of the target on this VM, and ``link_bytes_per_s`` what the VM's link
    carries.
    """

    vm_id: str
    data_centre: str
    own_host: str
    peer_port: int
    pace_port: int
    own_address: str
    seed_hosts: tuple[str, ...]
    link_bytes_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupShape:
    """Say how the experts of a group are laid out.

    A rank holds ``places`` experts of a set at most, and takes ``spare`` new
    ones at once.
    """

    sets: int
    experts: int
    places: int
    spare: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupMembers:
    """Hold the shape of a group and the hosts of its ranks, by rank."""

    shape: GroupShape
    hosts_by_rank: dict[int, str]


class Engine(typing.Protocol):
    """Talk to engine ranks: one's own, or that of ``host``."""

    async def observe(self, host=None):
        """Return the ``EngineState``, or None if it can't be had."""

    async def read_counts(self):
        """Return the own rank's counts, set by set, or None."""

    async def read_experts(self):
        """Return the own rank's ``RankMap`` in use, or None."""

    async def give(self, order, host=None):
        """Give an order and return its ``OrderResult``."""


class Members(typing.Protocol):
    """Find the members of groups in published values."""

    def find(self, items_by_key, group):
        """Return the ``GroupMembers`` of ``group``, or None."""
