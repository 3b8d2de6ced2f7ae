"""Simulate a model engine with streaming, resumption and cancellation.

Each token depends only on the prompt and its index, so that a test can
detect a truncated or wrongly joined completion.
"""

import dataclasses
import hashlib
import json
import os

import anyio
import fire

from savoryyoke_fakes import web

WORDS = (
    'storm delay grid north quiet signal drift vector satellite crew'
    ' forecast bulletin handset aurora receiver baseline'
).split()
CRASH_EXIT_STATUS = 70


def compute_token(prompt, index):
    """Return token ``index`` of the answer to ``prompt``."""
    digest = hashlib.sha256(f'{index}:{prompt}'.encode()).digest()
    return WORDS[digest[0] % len(WORDS)]


@dataclasses.dataclass
class Faults:
    """Hold the faults that a test can switch on.

    A stream stalls at the token index ``stall_after``, sends a wrong token
    at the index ``wrong_token``, and the process exits at the index
    ``truncate_after``. A prompt that contains ``crash_text`` also ends the
    process. Above ``concurrency_before_collapse`` running requests, tokens
    take ten times as long.
    """

    token_interval_s: float = 0.002
    truncate_after: int | None = None
    stall_after: int | None = None
    crash_text: str | None = None
    wrong_token: int | None = None
    concurrency_before_collapse: int = 64


class Engine:
    """Answer completion requests and count them."""

    def __init__(self, *, faults):
        self._faults = faults
        self._running = 0
        self._started = 0
        self._cancelled = 0
        self._orders = []

    async def handle(self, request):
        """Answer one HTTP request by its path."""
        if request.path == '/v1/completions':
            await self._complete(request)
        elif request.path == '/load':
            await request.send_json(self._build_load())
        elif request.path == '/control/faults':
            changes = await request.read_json()
            self._faults = dataclasses.replace(self._faults, **changes)
            await request.send_json({})
        else:
            await request.send_json({'error': 'unknown path'}, status=404)

    def _build_load(self):
        return {
            'running': self._running,
            'started': self._started,
            'cancelled': self._cancelled,
            'kv_free': max(0.0, 1 - self._running / 64),
        }

    async def _complete(self, request):
        body = await request.read_json()
        prompt = str(body.get('prompt', ''))
        if self._faults.crash_text and self._faults.crash_text in prompt:
            os._exit(CRASH_EXIT_STATUS)
        self._started += 1
        self._running += 1
        try:
            await self._answer(request, body, prompt)
        finally:
            self._running -= 1

    async def _answer(self, request, body, prompt):
        token_count = int(body.get('max_tokens', 16))
        if not body.get('stream'):
            await anyio.sleep(self._faults.token_interval_s * token_count)
            text = ' '.join(
                compute_token(prompt, index) for index in range(token_count)
            )
            choice = {'text': text, 'finish_reason': 'stop'}
            await request.send_json({'choices': [choice]})
            return
        first_index = int(body.get('resume', {}).get('index', 0))
        await request.start(200, b'text/event-stream')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._cancel_on_disconnect, request, tasks.cancel_scope
            )
            await self._stream(
                request, prompt, range(first_index, token_count)
            )
            tasks.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, request, scope):
        await request.wait_for_disconnect()
        self._cancelled += 1
        scope.cancel()

    async def _stream(self, request, prompt, indexes):
        for index in indexes:
            if index == self._faults.stall_after:
                await anyio.sleep_forever()
            if index == self._faults.truncate_after:
                os._exit(CRASH_EXIT_STATUS)
            interval_s = self._faults.token_interval_s
            if self._running > self._faults.concurrency_before_collapse:
                interval_s *= 10
            if interval_s and index != indexes.start:
                await anyio.sleep(interval_s)
            # At ``wrong_token``, the text of the next token is sent.
            text_index = (
                index + 1 if index == self._faults.wrong_token else index
            )
            choice = {
                'index': 0,
                'text': compute_token(prompt, text_index) + ' ',
            }
            event = json.dumps({'token_index': index, 'choices': [choice]})
            await request.send_part(f'data: {event}\n\n'.encode())
        await request.send_part(b'data: [DONE]\n\n', last=True)


def run(listen_address='127.0.0.1:0', token_interval_s=0.002):
    """Serve a fake engine; a token takes ``token_interval_s`` seconds."""
    faults = Faults(token_interval_s=float(token_interval_s))
    engine = Engine(faults=faults)
    web.run(engine.handle, listen_address=listen_address, name='engine')


if __name__ == '__main__':
    fire.Fire(run)
