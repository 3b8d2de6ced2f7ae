"""Run the target process until its drain is finished."""

import os

import anyio

from savoryyoke_edge import logs
from savoryyoke_edge.settings import loader
from savoryyoke_edge.settings import schema
from savoryyoke_target import daemon


def run(**flags):
    """Serve with the settings from flags and environment variables.

    Return when the drain is finished. Raise ``SettingsError`` for invalid
    settings.
    """
    settings = loader.load(
        schema.TargetSettings, flags=flags, environ=os.environ
    )
    logs.set_up(settings.log_level)

    async def main():
        await daemon.Daemon(settings=settings).run()

    anyio.run(main, backend_options={'use_uvloop': True})
