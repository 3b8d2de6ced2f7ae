"""Define what the injected judge answers."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """Say that a base and an overlay are valid together."""

    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Say why a base and an overlay are not valid together."""

    faults: tuple
