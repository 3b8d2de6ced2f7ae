"""Parse the values of command flags."""

from savoryyoke_edge.command_line import exceptions

_FLAG_VALUES = {'True': True, 'true': True, 'False': False, 'false': False}


def parse_flag(name, text):
    """Return the boolean value of the flag ``name``.

    Raise ``CommandError`` for any other text.
    """
    try:
        return _FLAG_VALUES[text]
    except KeyError:
        raise exceptions.CommandError(
            problem=f'{name}: {text!r} is neither true nor false'
        ) from None
