"""Run each scenario and print one line on the promise that it proves.

Name files to run only these. The exit status is 1 where a promise is broken
or a scenario cannot run; a promise without a scenario is ``not-proved``.
"""

import pathlib
import sys

from savoryyoke_fakes.scenarios import parsing
from savoryyoke_fakes.scenarios import runner

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / 'scenarios'


def read_scenarios(paths):
    """Return the scenarios by path, in the order of the promises."""
    scenarios_by_path = {}
    for path in paths:
        try:
            scenarios_by_path[path] = runner.read(path)
        except runner.exceptions.InvalidScenario as error:
            raise SystemExit(f'{path.name}: {error}') from error
    order = parsing.PROMISES.index
    return dict(
        sorted(
            scenarios_by_path.items(),
            key=lambda item: (order(item[1].promise), item[0].name),
        )
    )


def main(arguments):
    """Run the scenarios and return the exit status."""
    paths = [pathlib.Path(argument) for argument in arguments]
    chosen = read_scenarios(paths or sorted(DIRECTORY.glob('*.scenario')))
    broken = 0
    shown = set()
    for promise in parsing.PROMISES:
        for path, scenario in chosen.items():
            if scenario.promise != promise:
                continue
            result = runner.run(scenario, name=path.name)
            shown.add(promise)
            broken += not result.held
            print(result.render(), flush=True)
        if not paths and promise not in shown:
            print(
                f'promise={promise} scenario=none backing=none'
                ' result=not-proved seed=none figure=none',
                flush=True,
            )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
