"""Drain a running daemon: finish its requests and stop.

Usage: savoryyoke drain ADMIN_ADDRESS

ADMIN_ADDRESS is IP:PORT. The admin token is read from the environment
variable SAVORYYOKE_ADMIN_TOKEN. The command returns once the daemon has
started to drain; "savoryyoke status" shows the progress.
"""

from savoryyoke_edge.command_line import results
from savoryyoke_entry.commands import daemons


def drain(admin_address):
    """Start the drain of the daemon at ``admin_address``."""
    daemons.call('POST', admin_address, '/drain')
    return results.Result(lines=(f'{admin_address}: draining',))
