"""Run each scenario and print one line about the promise that it tests.

Give file names to run only those scenarios. The exit status is 1 if a promise
is broken or a scenario cannot run. A promise without a scenario is printed
as ``not-proved`` and does not change the exit status.
"""

import pathlib
import sys

from savoryyoke_fakes.scenarios import parsing
from savoryyoke_fakes.scenarios import runner

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / 'scenarios'


def read_scenarios(paths):
    """Return the scenarios by path, in the order of the promises.

    Raise ``SystemExit`` if a scenario is invalid.
    """
    scenarios_by_path = {}
    for path in paths:
        try:
            scenarios_by_path[path] = runner.read(path)
        except runner.exceptions.InvalidScenario as error:
            raise SystemExit(f'{path.name}: {error}') from error
    promise_index = parsing.PROMISES.index
    return dict(
        sorted(
            scenarios_by_path.items(),
            key=lambda item: (promise_index(item[1].promise), item[0].name),
        )
    )


def main(arguments):
    """Run the scenarios and return the exit status."""
    paths = [pathlib.Path(argument) for argument in arguments]
    scenarios_by_path = read_scenarios(
        paths or sorted(DIRECTORY.glob('*.scenario'))
    )
    broken_count = 0
    tested_promises = set()
    for promise in parsing.PROMISES:
        for path, scenario in scenarios_by_path.items():
            if scenario.promise != promise:
                continue
            result = runner.run(scenario, name=path.name)
            tested_promises.add(promise)
            broken_count += not result.held
            print(result.render(), flush=True)
        if not paths and promise not in tested_promises:
            print(
                f'promise={promise} scenario=none backing=none'
                ' result=not-proved seed=none figure=none',
                flush=True,
            )
    return 1 if broken_count else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
