"""Run the commands of a binary and turn what fails into one clear line.

A command ``check`` is the function ``check`` of the module ``check`` in the
binary's ``commands`` package. The module's docstring is its help.
"""

import difflib
import importlib
import os
import sys
import traceback

from savoryyoke_edge.command_line import binding
from savoryyoke_edge.command_line import exceptions
from savoryyoke_edge.command_line import help_texts
from savoryyoke_edge.command_line import results
from savoryyoke_edge.settings import exceptions as settings_exceptions
from savoryyoke_edge.settings import loader

HELP_FLAGS = ('--help', '-h')
FRAMES_SHOWN = 4


def main(*, program, commands, arguments=None):
    """Run one command line and return the exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        result = _run(program, commands, list(arguments))
        _print(result)
        return int(result.status)
    except exceptions.CommandError as error:
        return _report(program, [str(error)], error.status)
    except settings_exceptions.SettingsError as error:
        problems = [str(fault) for fault in error.faults]
        return _report(program, problems, results.ExitStatus.USAGE)
    except KeyboardInterrupt:
        return int(results.ExitStatus.INTERRUPTED)
    except BrokenPipeError:
        # The reader of the output has gone; the interpreter must not fail
        # while it flushes the rest.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(results.ExitStatus.OK)
    except Exception as error:
        return _report(
            program, [_describe(error)], results.ExitStatus.INTERNAL
        )


def _run(program, commands, arguments):
    commands_by_name = {command.name: command for command in commands}
    if not arguments:
        raise exceptions.CommandError(
            problem=f'no command is given; see {program} --help'
        )
    name, *rest = arguments
    if name in HELP_FLAGS:
        return help_texts.build_overview(program, commands)
    command = commands_by_name.get(name)
    if command is None:
        raise exceptions.CommandError(
            problem=_describe_unknown(program, name, commands_by_name)
        )
    if any(argument in HELP_FLAGS for argument in rest):
        return help_texts.build_help(program, command)
    if command.settings is not None:
        return _start(program, command, rest)
    return _call(program, command, rest)


def _start(program, command, arguments):
    """Start a process, or print its settings."""
    binding.check_flags(program, command, arguments)
    flags = binding.bind_call(
        program, command.name, binding.accept_flags, arguments
    ).options
    prints = flags.pop('print_settings', None)
    settings = loader.load(command.settings, flags=flags, environ=os.environ)
    if prints is not None:
        return results.Result(lines=(loader.render(settings),))
    try:
        _import_function(command)(**flags)
    except Exception as error:
        cause = _unwrap(error)
        if not isinstance(cause, OSError):
            raise
        problem = f'cannot run: {cause}'
        raise exceptions.CommandError(problem=problem) from None
    return results.Result()


def _call(program, command, arguments):
    function = _import_function(command)
    call = binding.bind_call(program, command.name, function, arguments)
    return function(*call.arguments, **call.options)


def _import_function(command):
    return getattr(importlib.import_module(command.module), command.name)


def _describe_unknown(program, name, commands_by_name):
    matches = difflib.get_close_matches(name, commands_by_name, n=1)
    hint = f'did you mean {matches[0]}? ' if matches else ''
    return f'there is no command {name!r}; {hint}See {program} --help'


def _print(result):
    for line in result.lines:
        print(line)
    sys.stdout.flush()
    for problem in result.problems:
        print(_keep_on_line(problem), file=sys.stderr)


def _report(program, problems, status):
    for problem in problems:
        print(f'{program}: {_keep_on_line(problem)}', file=sys.stderr)
    return int(status)


def _keep_on_line(text):
    """Escape what would end the line or steer a terminal."""
    return ''.join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )


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
