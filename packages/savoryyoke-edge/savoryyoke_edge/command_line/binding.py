"""Binding of arguments to a command's parameters, by fire."""

import contextlib
import dataclasses
import functools
import io

import fire
import fire.core
import fire.decorators

from savoryyoke_edge.command_line import exceptions

# What fire ends with unless an argument is left over.
_BOUND = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Hold the arguments of a command, so that it runs outside of fire."""

    arguments: tuple
    options: dict


def check_flags(program, command, arguments):
    """Refuse flags without a value, which fire would read as true."""
    hint = f'see {program} {command.name} --help'
    seen = set()
    remaining = list(arguments)
    while remaining:
        flag, equals, _ = remaining.pop(0).partition('=')
        name = flag.replace('_', '-')
        if not name.startswith('--') or name == '--':
            raise exceptions.CommandError(
                problem=f'{flag!r} is not a flag; {hint}'
            )
        if name in seen:
            raise exceptions.CommandError(
                problem=f'{name} is given twice; {hint}'
            )
        seen.add(name)
        if equals or name == '--print-settings':
            continue
        if not remaining or remaining.pop(0).startswith('--'):
            raise exceptions.CommandError(
                problem=f'{name} needs a value; {hint}'
            )


def accept_flags(**flags):
    """Accept any flags."""


def bind_call(program, name, function, arguments):
    """Return the ``Call`` that ``arguments`` describe, not yet made.

    Raise ``CommandError`` where they do not fit ``function``.
    """
    hint = f'see {program} {name} --help'
    if '--' in arguments:
        raise exceptions.CommandError(problem=f"'--' is not accepted; {hint}")
    calls = []

    @fire.decorators.SetParseFn(str)
    @functools.wraps(function)
    def bind(*bound, **options):
        calls.append(Call(arguments=bound, options=options))
        return _BOUND

    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output):
            with contextlib.redirect_stdout(output):
                result = fire.Fire(bind, command=arguments, name=program)
    except fire.core.FireExit as error:
        raise exceptions.CommandError(
            problem=f'{name}: {_describe_exit(error)}; {hint}'
        ) from None
    except TypeError:
        # Fire went into a member of the result, and could not call it.
        result = None
    if result is not _BOUND or len(calls) != 1:
        raise exceptions.CommandError(
            problem=f'{name}: too many arguments; {hint}'
        )
    return calls[0]


def _describe_exit(error):
    elements = error.trace.elements
    text = elements[-1].ErrorAsStr() if elements else 'wrong usage'
    return ' '.join(text.split()).rstrip('.')
