"""Print the status of a running daemon.

Usage: savoryyoke status ADMIN_ADDRESS [--json]

ADMIN_ADDRESS is IP:PORT. Each line is name=value; --json prints the daemon's
answer as one JSON document.
"""

import functools
import json

import fire.decorators

from savoryyoke_edge.command_line import exceptions
from savoryyoke_edge.command_line import results
from savoryyoke_edge import logs
from savoryyoke_entry.commands import daemons
from savoryyoke_entry.commands import values


@fire.decorators.SetParseFns(
    json=functools.partial(values.parse_flag, '--json')
)
def status(admin_address, *, json=False):
    """Print the status of the daemon at ``admin_address``."""
    document = _parse(daemons.call('GET', admin_address, '/status'))
    if json:
        return results.Result(lines=(_format(document),))
    lines = tuple(
        f'{name}={logs.format_value(value)}'
        for name, value in _flatten(document)
    )
    return results.Result(lines=lines)


def _parse(body):
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        raise exceptions.CommandError(
            problem='the answer is not JSON; is it an admin address?',
            status=results.ExitStatus.REFUSED,
        ) from None


def _format(document):
    return json.dumps(document, indent=2, sort_keys=True)


def _flatten(value, path=()):
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        yield '.'.join(path), '' if value is None else value
        return
    for key, item in items:
        yield from _flatten(item, (*path, str(key)))
