"""Help texts, built from the docstrings of commands and the settings."""

import ast
import importlib.util

from savoryyoke_edge.command_line import results
from savoryyoke_edge.settings import loader

EXIT_STATUSES = (
    'Exit status: 0 success; 1 negative result, or the file is not valid;\n'
    '2 wrong usage, settings or unreadable file; 3 the daemon cannot be\n'
    'reached; 4 the daemon refused; 70 internal error; 130 interrupted.'
)


def build_overview(program, commands):
    """Return the list of the commands of ``program``."""
    width = max(len(command.name) for command in commands)
    lines = [f'Usage: {program} COMMAND [ARGUMENT ...]', '']
    for command in commands:
        summary = _read_docstring(command).partition('\n')[0]
        lines.append(f'  {command.name:{width}}  {summary}')
    hint = f'{program} COMMAND --help describes one command.'
    return results.Result(lines=(*lines, '', hint, '', EXIT_STATUSES))


def build_help(program, command):
    """Return the help of one command of ``program``."""
    lines = [_read_docstring(command)]
    if command.settings is not None:
        lines.extend(['', f'Usage: {program} {command.name} --flag=value ...'])
        lines.append('')
        lines.extend(_describe_settings(command.settings))
        lines.append('  --print-settings  Print the settings and stop.')
    return results.Result(lines=(*lines, '', EXIT_STATUSES))


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
    """Return the docstring of a command without importing its module."""
    spec = importlib.util.find_spec(command.module)
    if spec is None or spec.loader is None:
        return ''
    source = spec.loader.get_source(command.module)
    return ast.get_docstring(ast.parse(source)) or ''
