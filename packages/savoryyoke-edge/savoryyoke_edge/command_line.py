"""Run the commands of a binary and turn what fails into one clear line.

A command ``check`` is the function ``check`` of the module ``check`` in the
binary's ``commands`` package. The module's docstring is its help.
"""

import ast
import contextlib
import dataclasses
import difflib
import enum
import functools
import importlib
import importlib.util
import io
import os
import sys
import traceback

import fire
import fire.core
import fire.decorators
import pydantic

from savoryyoke_edge.settings import exceptions
from savoryyoke_edge.settings import loader

HELP_FLAGS = ('--help', '-h')
FRAMES_SHOWN = 4
EXIT_STATUSES = (
    'Exit status: 0 success; 1 the answer is no, or the file is not valid;\n'
    '2 wrong usage, settings or unreadable file; 3 the daemon cannot be\n'
    'reached; 4 the daemon refused; 70 internal error; 130 interrupted.'
)


class ExitStatus(enum.IntEnum):
    """List the exit statuses of the binaries."""

    OK = 0
    NO = 1
    USAGE = 2
    UNREACHABLE = 3
    REFUSED = 4
    INTERNAL = 70
    INTERRUPTED = 130


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """Describe one command of a binary.

    ``settings`` is the settings model of a command that starts a process.
    """

    name: str
    module: str
    settings: type[pydantic.BaseModel] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Hold what a command prints and its exit status."""

    lines: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()
    status: ExitStatus = ExitStatus.OK


class CommandError(Exception):
    """Report why a command cannot go on; its text is one line."""

    def __init__(self, *, problem, status=ExitStatus.USAGE):
        """Hold the ``problem`` and the exit status that it leads to."""
        super().__init__(problem)
        self.status = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Call:
    """Hold the arguments of a command, so that it runs outside of fire."""

    arguments: tuple
    options: dict


def main(*, program, commands, arguments=None):
    """Run one command line and return the exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        result = _run(program, commands, list(arguments))
        _print(result)
        return int(result.status)
    except CommandError as error:
        return _report(program, [str(error)], error.status)
    except exceptions.SettingsError as error:
        problems = [str(fault) for fault in error.faults]
        return _report(program, problems, ExitStatus.USAGE)
    except KeyboardInterrupt:
        return int(ExitStatus.INTERRUPTED)
    except BrokenPipeError:
        # The reader of the output has gone; the interpreter must not fail
        # while it flushes the rest.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitStatus.OK)
    except Exception as error:
        return _report(program, [_describe(error)], ExitStatus.INTERNAL)


def _run(program, commands, arguments):
    commands_by_name = {command.name: command for command in commands}
    if not arguments:
        raise CommandError(
            problem=f'no command is given; see {program} --help'
        )
    name, *rest = arguments
    if name in HELP_FLAGS:
        return _build_overview(program, commands)
    command = commands_by_name.get(name)
    if command is None:
        raise CommandError(
            problem=_describe_unknown(program, name, commands_by_name)
        )
    if any(argument in HELP_FLAGS for argument in rest):
        return _build_help(program, command)
    if command.settings is not None:
        return _start(program, command, rest)
    return _call(program, command, rest)


def _start(program, command, arguments):
    """Start a process, or print its settings."""
    _check_flags(program, command, arguments)
    flags = _bind(program, command.name, _accept_flags, arguments).options
    prints = flags.pop('print_settings', None)
    settings = loader.load(command.settings, flags=flags, environ=os.environ)
    if prints is not None:
        return Result(lines=(loader.render(settings),))
    try:
        _import_function(command)(**flags)
    except* OSError as group:
        problem = f'cannot run: {_unwrap(group)}'
        raise CommandError(problem=problem) from None
    return Result()


def _check_flags(program, command, arguments):
    """Refuse flags without a value, which fire would read as true."""
    hint = f'see {program} {command.name} --help'
    seen = set()
    remaining = list(arguments)
    while remaining:
        flag, equals, _ = remaining.pop(0).partition('=')
        name = flag.replace('_', '-')
        if not name.startswith('--') or name == '--':
            raise CommandError(problem=f'{flag!r} is not a flag; {hint}')
        if name in seen:
            raise CommandError(problem=f'{name} is given twice; {hint}')
        seen.add(name)
        if equals or name == '--print-settings':
            continue
        if not remaining or remaining.pop(0).startswith('--'):
            raise CommandError(problem=f'{name} needs a value; {hint}')


def _call(program, command, arguments):
    function = _import_function(command)
    call = _bind(program, command.name, function, arguments)
    return function(*call.arguments, **call.options)


def _accept_flags(**flags):
    """Accept any flags."""


def _bind(program, name, function, arguments):
    """Return the call that ``arguments`` describe, not yet made."""
    hint = f'see {program} {name} --help'
    if '--' in arguments:
        raise CommandError(problem=f"'--' is not accepted; {hint}")
    calls = []

    @fire.decorators.SetParseFn(str)
    @functools.wraps(function)
    def bind(*bound, **options):
        calls.append(_Call(arguments=bound, options=options))

    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output):
            with contextlib.redirect_stdout(output):
                rest = fire.Fire(bind, command=arguments, name=program)
    except fire.core.FireExit as error:
        raise CommandError(
            problem=f'{name}: {_describe_exit(error)}; {hint}'
        ) from None
    if rest is not None or len(calls) != 1:
        raise CommandError(problem=f'{name}: too many arguments; {hint}')
    return calls[0]


def _describe_exit(error):
    elements = error.trace.elements
    text = elements[-1].ErrorAsStr() if elements else 'wrong usage'
    return ' '.join(text.split()).rstrip('.')


def _import_function(command):
    return getattr(importlib.import_module(command.module), command.name)


def _describe_unknown(program, name, commands_by_name):
    matches = difflib.get_close_matches(name, commands_by_name, n=1)
    hint = f'did you mean {matches[0]}? ' if matches else ''
    return f'there is no command {name!r}; {hint}See {program} --help'


def _build_overview(program, commands):
    width = max(len(command.name) for command in commands)
    lines = [f'Usage: {program} COMMAND [ARGUMENT ...]', '']
    for command in commands:
        summary = _read_docstring(command).partition('\n')[0]
        lines.append(f'  {command.name:{width}}  {summary}')
    more = f'{program} COMMAND --help tells more.'
    return Result(lines=(*lines, '', more, '', EXIT_STATUSES))


def _build_help(program, command):
    lines = [_read_docstring(command)]
    if command.settings is not None:
        lines.extend(['', f'Usage: {program} {command.name} --flag=value ...'])
        lines.append('')
        lines.extend(_describe_settings(command.settings))
        lines.append('  --print-settings  Print the settings and stop.')
    return Result(lines=(*lines, '', EXIT_STATUSES))


def _describe_settings(model):
    for name, field in model.model_fields.items():
        flag = loader.flag_name(name)
        yield f'  {flag} ({loader.variable_name(model, name)})'
        yield f'      {field.description} {_describe_default(field)}'


def _describe_default(field):
    if field.is_required():
        return 'Required.'
    if field.default is None:
        return 'Unset by default.'
    return f'Default: {field.default}.'


def _read_docstring(command):
    """Return the docstring of a command without importing what it needs."""
    spec = importlib.util.find_spec(command.module)
    if spec is None or spec.loader is None:
        return ''
    source = spec.loader.get_source(command.module)
    return ast.get_docstring(ast.parse(source)) or ''


def _print(result):
    for line in result.lines:
        print(line)
    sys.stdout.flush()
    for problem in result.problems:
        print(problem, file=sys.stderr)


def _report(program, problems, status):
    for problem in problems:
        print(f'{program}: {problem}', file=sys.stderr)
    return int(status)


def _describe(error):
    error = _unwrap(error)
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES_SHOWN:]
    place = ' < '.join(
        f'{os.path.basename(frame.filename)}:{frame.lineno}'
        for frame in reversed(frames)
    )
    text = ' '.join(str(error).split())
    return f'internal error: {type(error).__name__}: {text} ({place})'


def _unwrap(error):
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
