"""Commands of a binary."""

import dataclasses

import pydantic


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """Describe one command of a binary.

    ``settings`` is the settings model of a command that starts a process.
    """

    name: str
    module: str
    settings: type[pydantic.BaseModel] | None = None
