"""Identify generations, changes and maps."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Generation:
    """Identify one formation of a group.

    ``counter`` grows along a group's formations as long as one of its ranks
    survives. ``nonce`` is drawn at random by rank 0 for each formation, so
    that a group whose ranks all restarted is never taken for an earlier one.
    Generations are compared for equality only.
    """

    counter: int
    nonce: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeToken:
    """Order the changes of one generation.

    ``driver_order`` is above all orders that the driver has read from the
    ranks. Two drivers that read at the same time may choose the same order;
    ``driver_nonce``, random for each driver process, then separates them.
    ``epoch`` counts the changes of one driver.
    """

    generation: Generation
    driver_order: int
    driver_nonce: int
    epoch: int

    @property
    def position(self):
        """Return the place of the token in the order of its generation."""
        return (self.driver_order, self.driver_nonce, self.epoch)


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapIdentity:
    """Identify one expert map by content and by the change that made it.

    ``digest`` is a hash of the map's content. ``token`` is None for the map
    that operators declared for the start of the group.
    """

    digest: int
    token: ChangeToken | None = None
