"""Run the entry daemon until it is drained."""

import os

import anyio

from savoryyoke_edge import logs
from savoryyoke_edge.settings import loader
from savoryyoke_edge.settings import schema
from savoryyoke_entry import daemon


def run(**flags):
    """Serve with the settings from flags and environment variables.

    Return when the process has drained; raise ``SettingsError`` for
    settings that are not valid.
    """
    settings = loader.load(
        schema.EntrySettings, flags=flags, environ=os.environ
    )
    logs.set_up(settings.log_level)

    async def main():
        await daemon.Daemon(settings=settings).run()

    anyio.run(main, backend_options={'use_uvloop': True})
