"""Description of the commands of a binary."""

import dataclasses

import pydantic


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """Describe one command of a binary.

    ``module`` is the full name of the module that implements it.
    ``settings`` is the settings model if the command starts a daemon.
    """

    name: str
    module: str
    settings: type[pydantic.BaseModel] | None = None
