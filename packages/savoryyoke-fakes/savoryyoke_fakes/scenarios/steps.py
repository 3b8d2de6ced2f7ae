"""Define the statements of a scenario, one class for each."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """Hold the number of the line that a statement stands on."""

    line: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartTraffic(Step):
    """Send calls of one kind at a steady rate until traffic stops."""

    kind: str
    team: str
    rate_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopTraffic(Step):
    """Stop all traffic and wait for the calls under way."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendCalls(Step):
    """Send a number of calls at once, without waiting for answers."""

    count: int
    kind: str
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RepeatPayment(Step):
    """Send a payment again, counted from 1, through a named entry."""

    number: int
    entry: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlaceStep(Step):
    """Name the process that a statement is about."""

    place: str


class Kill(PlaceStep):
    """End a process at once."""


class Freeze(PlaceStep):
    """Stop the execution of a process."""


class Thaw(PlaceStep):
    """Let a frozen process run on."""


class Restart(PlaceStep):
    """Start a process in place of one that ended or still runs."""


class Drain(PlaceStep):
    """Begin the planned stop of a process."""


class TurnCold(PlaceStep):
    """Let a target lose its warm state without a restart."""


class ListLeaving(PlaceStep):
    """List a VM as leaving."""


class ListLive(PlaceStep):
    """List a VM as live."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut(Step):
    """Let no message pass between two processes."""

    place: str
    other: str


class Heal(Step):
    """Let all messages pass again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetFault(Step):
    """Set a fault of the stand-in behind a target."""

    place: str
    fault: str
    number: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformState(Step):
    """Put the platform's service into a state.

    It is ``down`` or ``back``, ``stale`` or ``current``.
    """

    state: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PublishTeam(Step):
    """Publish a base that declares one more team."""

    team: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PublishState(Step):
    """Publish a base that takes a data centre out or in."""

    data_centre: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PublishMap(Step):
    """Propose an expert map, named by a number."""

    digest: int


class PublishInvalid(Step):
    """Publish a base that must be refused."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitSeconds(Step):
    """Let time pass."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailAtRandom(Step):
    """Let processes fail and return at random, drawn from the seed."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitEnded(Step):
    """Wait until so many calls have ended since the start."""

    count: int


class WaitReady(Step):
    """Wait until each entry is connected to each running target."""


class AnswersWhole(Step):
    """Expect each call to be answered whole or refused in words."""


class AllServed(Step):
    """Expect each call to be served whole at its first try."""


class RunsOnce(Step):
    """Expect no payment to have run more than once."""


class RefusalsTrue(Step):
    """Expect that no payment ran whose answers all say that it did not."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoNewWork(Step):
    """Expect that a target or data centre is left alone after a time."""

    place: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce(Step):
    """Expect the newest valid configuration in force everywhere."""

    seconds: float


class NeverOlder(Step):
    """Expect that no process went back to an older configuration."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusedFile(Step):
    """Expect every entry that runs to report the invalid file."""

    seconds: float


class Bearable(Step):
    """Expect that no engine ran more calls at once than it bears."""


class CleanExit(PlaceStep):
    """Expect a drained process to end with status 0, unfinished calls 0."""


class OneMap(Step):
    """Expect that the ranks of a step all used the same expert map."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Hold a parsed scenario."""

    title: str
    promise: str
    seed: int
    backing: str
    steps: tuple
