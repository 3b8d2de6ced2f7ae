"""Start the command line program savoryyoke-target."""

import sys

from savoryyoke_edge.command_line import commands
from savoryyoke_edge.command_line import runner
from savoryyoke_edge import pending_signals
from savoryyoke_edge.settings import schema

PROGRAM = 'savoryyoke-target'

COMMANDS = (
    commands.Command(
        name='run',
        module='savoryyoke_target.commands.run',
        settings=schema.TargetSettings,
    ),
)


def main():
    """Run the command given on the command line and exit."""
    if sys.argv[1:2] == ['run']:
        # The daemon handles them once its modules are imported.
        pending_signals.block(pending_signals.STOP_SIGNALS)
    sys.exit(runner.main(program=PROGRAM, commands=COMMANDS))


if __name__ == '__main__':
    main()
