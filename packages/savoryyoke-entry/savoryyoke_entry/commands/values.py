"""Values of the flags of commands."""

from savoryyoke_edge.command_line import exceptions

_FLAG_VALUES = {'True': True, 'true': True, 'False': False, 'false': False}


def parse_flag(name, text):
    """Return the boolean that a flag ``name`` gives."""
    try:
        return _FLAG_VALUES[text]
    except KeyError:
        raise exceptions.CommandError(
            problem=f'{name}: {text!r} is neither true nor false'
        ) from None
