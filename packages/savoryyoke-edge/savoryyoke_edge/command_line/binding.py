"""Bind command-line arguments to the parameters of commands, with fire."""

import contextlib
import dataclasses
import functools
import io

import fire
import fire.core
import fire.decorators

from savoryyoke_edge.command_line import exceptions

# Returned through fire if it consumed all arguments.
_BOUND = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Hold the bound arguments of a command, to call it without fire."""

    arguments: tuple
    options: dict


def check_flags(program, command, arguments):
    """Check that each flag is given once and has a value.

    Fire would read a flag without a value as true. Raise ``CommandError``.
    """
    hint = f'see {program} {command.name} --help'
    given_names = set()
    remaining = list(arguments)
    while remaining:
        flag, equals, _ = remaining.pop(0).partition('=')
        name = flag.replace('_', '-')
        if not name.startswith('--') or name == '--':
            raise exceptions.CommandError(
                problem=f'{flag!r} is not a flag; {hint}'
            )
        if name in given_names:
            raise exceptions.CommandError(
                problem=f'{name} is given twice; {hint}'
            )
        given_names.add(name)
        if equals or name == '--print-settings':
            continue
        if not remaining or remaining.pop(0).startswith('--'):
            raise exceptions.CommandError(
                problem=f'{name} needs a value; {hint}'
            )


def accept_flags(**flags):
    """Accept any flags; the settings loader checks them."""


def bind_call(program, name, function, arguments):
    """Return ``arguments`` bound to ``function`` as a ``Call``.

    Raise ``CommandError`` if they do not match the parameters.
    """
    hint = f'see {program} {name} --help'
    if '--' in arguments:
        raise exceptions.CommandError(problem=f"'--' is not accepted; {hint}")
    calls = []

    @fire.decorators.SetParseFn(str)
    @functools.wraps(function)
    def bind(*positional, **options):
        calls.append(Call(arguments=positional, options=options))
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
        # Fire used a surplus argument as a member of the result and failed
        # to call that member.
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
