"""Run the command line in this process and capture its output."""

import contextlib
import dataclasses
import io
import os
import pathlib
import unittest.mock

from savoryyoke_edge.command_line import runner
from savoryyoke_entry import __main__ as binary

ROOT = pathlib.Path(__file__).resolve().parents[4]
EXAMPLES = ROOT / 'examples'
FUND = EXAMPLES / 'fund' / 'base.yaml'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """Hold the exit status and the output of one command line."""

    status: int
    output: str
    errors: str


def run(*arguments, environ=None):
    """Run one command line of the binary and return its ``Run``."""
    output = io.StringIO()
    errors = io.StringIO()
    variables = unittest.mock.patch.dict(os.environ, environ or {})
    with variables, contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(errors):
            status = runner.main(
                program=binary.PROGRAM,
                commands=binary.COMMANDS,
                arguments=[str(argument) for argument in arguments],
            )
    return Run(
        status=status, output=output.getvalue(), errors=errors.getvalue()
    )
