"""Define the results of the validation of a configuration."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """Report that a base and an overlay are valid together.

    ``digest`` identifies the resulting configuration.
    """

    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Report why a base and an overlay are not valid together."""

    faults: tuple
