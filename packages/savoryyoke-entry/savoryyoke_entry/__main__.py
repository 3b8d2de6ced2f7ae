"""Run the command ``savoryyoke``."""

import sys

from savoryyoke_edge.command_line import commands
from savoryyoke_edge.command_line import runner
from savoryyoke_edge import pending_signals
from savoryyoke_edge.settings import schema

PROGRAM = 'savoryyoke'
_PACKAGE = 'savoryyoke_entry.commands'

COMMANDS = (
    commands.Command(
        name='run',
        module=f'{_PACKAGE}.run',
        settings=schema.EntrySettings,
    ),
    *(
        commands.Command(name=name, module=f'{_PACKAGE}.{name}')
        for name in ('check', 'render', 'diff', 'explain', 'status', 'drain')
    ),
)


def main():
    """Run the command that the command line names."""
    if sys.argv[1:2] == ['run']:
        # The daemon handles them once its modules are imported.
        pending_signals.block(pending_signals.STOP_SIGNALS)
    sys.exit(runner.main(program=PROGRAM, commands=COMMANDS))


if __name__ == '__main__':
    main()
