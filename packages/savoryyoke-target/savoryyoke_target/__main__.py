"""Entry point of the binary savoryyoke-target."""

import sys

from savoryyoke_edge import command_line
from savoryyoke_edge.settings import schema

PROGRAM = 'savoryyoke-target'

COMMANDS = (
    command_line.Command(
        name='run',
        module='savoryyoke_target.commands.run',
        settings=schema.TargetSettings,
    ),
)


def main():
    """Run the command that the command line names."""
    sys.exit(command_line.main(program=PROGRAM, commands=COMMANDS))


if __name__ == '__main__':
    main()
