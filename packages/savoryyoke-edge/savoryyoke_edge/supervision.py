"""Restart tasks of a process that fail with an unexpected error."""

import anyio

from savoryyoke_edge import logs

# Limits a task that always fails at once to two log lines a second.
_RESTART_DELAY_S = 0.5


async def keep_running(task):
    """Run ``task()``; log an unexpected error and start it again.

    Return when the task returns. Ending the process instead would lose its
    state and all its requests.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            logs.write_exception('task_failed', error, task=task.__qualname__)
        await anyio.sleep(_RESTART_DELAY_S)
