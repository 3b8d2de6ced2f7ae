"""Run a scenario against the backing that it names."""

import dataclasses
import inspect
import pathlib

from savoryyoke.calls.testing import oracle as oracles
from savoryyoke.groups import exceptions as group_exceptions
from savoryyoke_fakes.scenarios import clock_calls
from savoryyoke_fakes.scenarios import clock_group
from savoryyoke_fakes.scenarios import clock_load
from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import parsing
from savoryyoke_fakes.scenarios import process_backing

BACKINGS_BY_NAME = {
    'clock-calls': clock_calls.ClockCallsBacking,
    'clock-group': clock_group.ClockGroupBacking,
    'clock-load': clock_load.ClockLoadBacking,
    'processes': process_backing.ProcessBacking,
}


# What the stand-ins raise where a promise breaks under their hands.
_FALSE = (oracles.FalseAnswer, group_exceptions.BarrierViolated)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Say whether a promise held in a scenario, and what was measured."""

    promise: str
    scenario: str
    backing: str
    seed: int
    problem: str | None = None
    figures: dict = dataclasses.field(default_factory=dict)

    @property
    def held(self):
        """Return whether each expectation was met."""
        return self.problem is None

    def render(self):
        """Return the result as one line of key=value pairs."""
        figure = ','.join(f'{k}:{v}' for k, v in self.figures.items())
        line = (
            f'promise={self.promise} scenario={self.scenario}'
            f' backing={self.backing}'
            f' result={"held" if self.held else "broken"}'
            f' seed={self.seed} figure={figure or "none"}'
        )
        if self.problem:
            line += f' problem="{self.problem}"'
        return line


def read(path):
    """Return the scenario of a file, checked against its backing."""
    scenario = parsing.parse(pathlib.Path(path).read_text())
    kind = BACKINGS_BY_NAME[scenario.backing]
    handlers = inspect.getattr_static(kind, 'run').dispatcher
    unknown = handlers.dispatch(object)
    for step in scenario.steps:
        if handlers.dispatch(type(step)) is unknown:
            raise exceptions.InvalidScenario(
                line=step.line,
                problem=f'{type(step).__name__} has no meaning with'
                f' backing {scenario.backing}',
            )
    return scenario


def run(scenario, *, name, make_backing=None):
    """Run a parsed scenario and return its ``Result``."""
    make_backing = make_backing or BACKINGS_BY_NAME[scenario.backing]
    problem = None
    backing = make_backing(seed=scenario.seed)
    with backing:
        try:
            for step in scenario.steps:
                backing.run(step)
        except exceptions.PromiseBroken as error:
            problem = str(error).replace('"', "'")
        except _FALSE as error:
            problem = f'line {step.line}: {error}'
    return Result(
        promise=scenario.promise,
        scenario=name,
        backing=scenario.backing.partition('-')[0],
        seed=scenario.seed,
        problem=problem,
        figures=dict(backing.figures),
    )
