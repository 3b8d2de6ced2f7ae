"""Keep a process's tasks running when one decision of theirs fails."""

import anyio

from savoryyoke_edge import logs

# A task that fails at once each time writes two lines a second.
_PAUSE_S = 0.5


async def keep_running(task):
    """Run ``task()``; log an unexpected error and begin it again.

    Return when it ends by itself. A process that ends instead takes its
    whole state and all its requests along.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            logs.write_fault('task_failed', error, task=task.__qualname__)
        await anyio.sleep(_PAUSE_S)
