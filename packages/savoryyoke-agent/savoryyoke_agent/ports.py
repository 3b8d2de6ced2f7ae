"""Define what the adapter of a platform has to provide."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Hold the settings of one agent.

    ``seed_hosts`` are hosts of entries. ``peer_port`` is the port for
    messages between agents and for reading published values from entries,
    the same on all hosts; ``pace_port`` is that for reporting slow targets to
    entries. ``own_address`` is the address of the target on this VM.
    ``link_bytes_per_s`` is the capacity of the VM's network link.
    """

    vm_id: str
    data_centre: str
    own_host: str
    peer_port: int
    pace_port: int
    own_address: str
    seed_hosts: tuple[str, ...]
    link_bytes_per_s: float


class Engine(typing.Protocol):
    """Call the engine of the own rank or, with ``host``, of another one."""

    async def observe(self, host=None):
        """Return the ``EngineState``, or None if the call fails."""

    async def read_counts(self):
        """Return the own engine's cumulative choice counts, or None.

        They are a flat sequence: a count per expert, set by set.
        """

    async def read_experts(self):
        """Return the ``RankMap`` that the own engine uses, or None."""

    async def send_order(self, order, host=None):
        """Send an order and return its ``OrderResult``."""


class MemberFinder(typing.Protocol):
    """Find the members of groups in published values."""

    def find(self, items_by_key, group):
        """Return the ``GroupMembers`` of the group with this name, or None."""
