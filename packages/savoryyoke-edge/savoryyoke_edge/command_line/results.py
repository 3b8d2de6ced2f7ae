"""Results of commands and the exit statuses of the binaries."""

import dataclasses
import enum


class ExitStatus(enum.IntEnum):
    """List the exit statuses of the binaries."""

    OK = 0
    NEGATIVE = 1
    USAGE = 2
    UNREACHABLE = 3
    REFUSED = 4
    INTERNAL = 70
    INTERRUPTED = 130


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Hold the output of a command and its exit status.

    ``lines`` go to standard output, ``problems`` to standard error.
    """

    lines: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()
    status: ExitStatus = ExitStatus.OK
