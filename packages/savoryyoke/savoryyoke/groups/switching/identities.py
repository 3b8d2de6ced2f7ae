"""Identify generations, changes and maps."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Generation:
    """Identify one formation of a group.

    ``counter`` grows with each formation as long as one of the group's ranks
    survives. ``nonce`` is a random number that rank 0 chooses for each
    formation, so that a group whose ranks have all restarted is not mistaken
    for an earlier one. Generations are compared for equality only.
    """

    counter: int
    nonce: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeToken:
    """Identify a change and order the changes of one generation.

    ``driver_order`` is greater than each value that the driver has read from
    the ranks. Two drivers that read at the same time may choose the same
    value; ``driver_nonce``, random for each driver process, then distinguishes
    them. ``epoch`` counts the changes of one driver.
    """

    generation: Generation
    driver_order: int
    driver_nonce: int
    epoch: int

    @property
    def sort_key(self):
        """Return the key that sorts the tokens of one generation by age."""
        return (self.driver_order, self.driver_nonce, self.epoch)


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapIdentity:
    """Identify one expert map by content and by the change that made it.

    ``digest`` is a hash of the map's content. ``token`` is None for the map
    with which the group starts by its configuration.
    """

    digest: int
    token: ChangeToken | None = None
