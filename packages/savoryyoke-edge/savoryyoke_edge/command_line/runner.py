"""Run the commands of a binary and report each failure as one line.

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
SHOWN_FRAMES_LIMIT = 4


def main(*, program, commands, arguments=None):
    """Run one command and return the exit status.

    ``arguments`` default to those of the process.
    """
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
        # The reader closed the pipe. Redirect standard output, so that the
        # interpreter does not fail when it flushes the rest at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(results.ExitStatus.OK)
    except Exception as error:
        return _report(
            program, [_describe_error(error)], results.ExitStatus.INTERNAL
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
        return _run_daemon(program, command, rest)
    return _call_command(program, command, rest)


def _run_daemon(program, command, arguments):
    """Run a daemon until it stops, or print its settings."""
    binding.check_flags(program, command, arguments)
    flags = binding.bind_call(
        program, command.name, binding.accept_flags, arguments
    ).options
    print_flag = flags.pop('print_settings', None)
    settings = loader.load(command.settings, flags=flags, environ=os.environ)
    if print_flag is not None:
        return results.Result(lines=(loader.render(settings),))
    try:
        _import_function(command)(**flags)
    except Exception as error:
        cause = _unwrap_group(error)
        if not isinstance(cause, OSError):
            raise
        problem = f'cannot run: {cause}'
        raise exceptions.CommandError(problem=problem) from None
    return results.Result()


def _call_command(program, command, arguments):
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
        print(_escape_line(problem), file=sys.stderr)


def _report(program, problems, status):
    for problem in problems:
        print(f'{program}: {_escape_line(problem)}', file=sys.stderr)
    return int(status)


def _escape_line(text):
    """Escape line breaks and terminal control characters."""
    return ''.join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )


def _describe_error(error):
    error = _unwrap_group(error)
    frames = traceback.extract_tb(error.__traceback__)[-SHOWN_FRAMES_LIMIT:]
    location = ' < '.join(
        f'{os.path.basename(frame.filename)}:{frame.lineno}'
        for frame in reversed(frames)
    )
    text = ' '.join(str(error).split())
    return f'internal error: {type(error).__name__}: {text} ({location})'


def _unwrap_group(error):
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
