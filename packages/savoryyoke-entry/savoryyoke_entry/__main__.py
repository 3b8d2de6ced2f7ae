"""Entry point of the binary savoryyoke."""

import sys

from savoryyoke_edge import command_line
from savoryyoke_edge.settings import schema

PROGRAM = 'savoryyoke'
_PACKAGE = 'savoryyoke_entry.commands'

COMMANDS = (
    command_line.Command(
        name='run',
        module=f'{_PACKAGE}.run',
        settings=schema.EntrySettings,
    ),
    *(
        command_line.Command(name=name, module=f'{_PACKAGE}.{name}')
        for name in ('check', 'render', 'diff', 'explain', 'status', 'drain')
    ),
)


def main():
    """Run the command that the command line names."""
    sys.exit(command_line.main(program=PROGRAM, commands=COMMANDS))


if __name__ == '__main__':
    main()
