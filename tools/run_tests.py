"""Run every test suite of the workspace, each in its own process.

Failures of tests listed in ``KNOWN-RED.txt`` are printed but do not change the
exit status; any other failure makes it 1. A listed test that passes is printed
too, so that its entry can be removed.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
SUITE_TIMEOUT_S = 1200
PARALLEL_SUITES = 4

_FAILURE = re.compile(r'^(?:FAIL|ERROR): \S+ \((\S+?)\)', re.MULTILINE)
_COUNT = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
_SKIPPED = re.compile(r'skipped=(\d+)')


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuiteResult:
    """Hold the result of one suite."""

    name: str
    ran: int
    skipped: int
    failures: tuple[str, ...]
    completed: bool
    output: str


def find_suites():
    """Return the directories with a ``tests`` package, root first."""
    packages = sorted((ROOT / 'packages').iterdir())
    packages.append(ROOT / 'platform')
    # The root suite takes the longest, so it starts first.
    return [
        ROOT,
        *(path for path in packages if (path / 'tests').is_dir()),
    ]


def run_suite(directory):
    """Run one suite and return its parsed result."""
    command = [
        sys.executable,
        '-m',
        'unittest',
        'discover',
        '--verbose',
        '--start-directory',
        'tests',
        '--top-level-directory',
        '.',
    ]
    environment = dict(os.environ, PYTHONHASHSEED='0')
    try:
        process = subprocess.run(
            command,
            cwd=directory,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors='replace',
            timeout=SUITE_TIMEOUT_S,
        )
        output = process.stdout
        status = process.returncode
    except subprocess.TimeoutExpired as error:
        output = f'{error.stdout}\nsuite timed out after {SUITE_TIMEOUT_S} s'
        status = None
    name = 'workspace' if directory == ROOT else directory.name
    return parse_result(name, output, status)


def parse_result(name, output, status):
    """Build a result from the output and exit status of a suite.

    unittest in Python 3.12 and later exits with 5 if a suite has no tests.
    The status is ``None`` after a timeout.
    """
    count_match = _COUNT.search(output)
    skipped_match = _SKIPPED.search(output)
    failures = tuple(dict.fromkeys(_FAILURE.findall(output)))
    exited_normally = status in (0, 5) or (status == 1 and bool(failures))
    return SuiteResult(
        name=name,
        ran=int(count_match.group(1)) if count_match else 0,
        skipped=int(skipped_match.group(1)) if skipped_match else 0,
        failures=failures,
        completed=exited_normally and count_match is not None,
        output=output,
    )


def read_known_red():
    """Return the test identifiers that ``KNOWN-RED.txt`` lists."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return frozenset(line.split()[0] for line in entries)


def report(result, known_red):
    """Print the result of a suite; return its failures that are not known."""
    unexpected = [name for name in result.failures if name not in known_red]
    if unexpected or not result.completed:
        print(result.output)
    state = 'completed' if result.completed else 'did not complete'
    print(
        f'suite={result.name} state="{state}" ran={result.ran}'
        f' failed={len(result.failures)} skipped={result.skipped}'
    )
    return unexpected


def main():
    """Run all suites and return the exit status."""
    known_red = read_known_red()
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_SUITES) as pool:
        results = list(pool.map(run_suite, find_suites()))
    unexpected = []
    for result in results:
        unexpected.extend(report(result, known_red))
    failed = {name for result in results for name in result.failures}
    for name in sorted(known_red):
        outcome = 'failed' if name in failed else 'passed: remove the entry'
        print(f'known-red test={name} outcome="{outcome}"')
    incomplete = [result.name for result in results if not result.completed]
    ran = sum(result.ran for result in results)
    skipped = sum(result.skipped for result in results)
    passed = ran - len(failed) - skipped
    print(f'{passed} passed, {len(failed)} failed, {skipped} skipped')
    return 1 if unexpected or incomplete or not ran else 0


if __name__ == '__main__':
    sys.exit(main())
