"""Send scripted calls to a fleet, as callers that try again do."""

import concurrent.futures
import threading
import time

import httpcore

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from savoryyoke_fakes.scenarios import records

MOST_TRIES = 5
CALL_TIMEOUT_S = 15.0
RETRY_S = 0.2
STOP_TIMEOUT_S = 60.0
PARALLEL_CALLS = 48


class Team:
    """Keep one team's answer from the directory fresh.

    ``find_addresses`` returns the addresses of the entries that run.
    """

    def __init__(self, *, name, find_addresses):
        self._name = name
        self._find_addresses = find_addresses
        self._lock = threading.Lock()
        self._client = None
        self._expires_s = 0.0

    def get_client(self):
        """Return a client whose answer has not expired."""
        with self._lock:
            if time.monotonic() >= self._expires_s:
                self._client = clients.Client(
                    team=self._name, entry_addresses=self._find_addresses()
                )
                answer = self._client.ask_directory()
                self._expires_s = time.monotonic() + answer['lifetime_s'] / 2
            return self._client

    def expire(self):
        """Forget the answer, as its entry did not serve."""
        self._expires_s = 0.0


class Callers:
    """Own the threads that call and the records of their calls."""

    def __init__(self, *, find_addresses):
        self._find_addresses = find_addresses
        self._teams_by_name = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(PARALLEL_CALLS)
        self._futures = []
        self._streams = []
        self._lock = threading.Lock()
        self.calls = []

    def start(self, *, kind, team, rate_per_s):
        """Send calls at a steady rate until ``stop``."""
        stopped = threading.Event()

        def run():
            while not stopped.wait(1 / rate_per_s):
                self.send(kind=kind, team=team)

        thread = threading.Thread(target=run)
        self._streams.append((thread, stopped))
        thread.start()

    def send(self, *, kind, team):
        """Send one call without waiting for its answer."""
        with self._lock:
            number = len(self.calls) + 1
            call = records.Call(
                number=number, kind=kind, reference=f'{kind}-{number}'
            )
            self.calls.append(call)
            held = self._teams_by_name.setdefault(
                team, Team(name=team, find_addresses=self._find_addresses)
            )
            self._futures.append(self._pool.submit(self._call, call, held))

    def repeat_payment(self, number, *, address):
        """Send the payment with this number among payments once more."""
        payments = [call for call in self.calls if call.kind == 'payments']
        call = payments[number - 1]
        again = records.Call(
            number=len(self.calls) + 1,
            kind=call.kind,
            reference=call.reference,
            key=call.key,
        )
        self.calls.append(again)
        client = clients.Client(team='members', entry_addresses=[address])
        self._futures.append(
            self._pool.submit(self._try, again, client, address)
        )

    def count_ended(self):
        """Return how many calls have ended."""
        return sum(future.done() for future in list(self._futures))

    def stop(self):
        """Stop all traffic and wait for the calls under way."""
        for _, stopped in self._streams:
            stopped.set()
        for thread, _ in self._streams:
            thread.join()
        self._streams = []
        for future in self._futures:
            future.result(timeout=STOP_TIMEOUT_S)

    def close(self):
        """Stop all traffic without waiting for answers."""
        for _, stopped in self._streams:
            stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _call(self, call, team):
        for attempt in range(MOST_TRIES):
            if attempt:
                team.expire()
                time.sleep(RETRY_S * 2**attempt)
            try:
                client = team.get_client()
                self._bind(call, client)
            except ConnectionError as error:
                call.answers.append(_fail(error))
                continue
            # The fleet's many callers use all the entries that are named.
            entries = client.directory['entries']
            place = (call.number + attempt) % len(entries)
            self._try(call, client, entries[place]['address'])
            if call.last.verdict not in records.RETRIED:
                return

    def _bind(self, call, client):
        """Give a payment its key, once."""
        if call.kind != 'payments' or call.key is not None:
            return
        if fleets.ACCOUNT not in client.directory['bindings']:
            raise ConnectionError('the directory offers no binding')
        call.key = client.build_key(fleets.ACCOUNT, call.reference)

    def _try(self, call, client, address):
        try:
            answer = _send(call, client, address)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            call.answers.append(_fail(error))
            return
        call.answers.append(records.judge_answer(call, answer))


def _send(call, client, address):
    if call.kind == 'completions':
        return client.complete(
            call.reference, max_tokens=records.TOKENS, address=address
        )
    if call.kind == 'lookups':
        return client.look_up(address=address)
    return client.pay(
        call.reference, call.key, address=address, timeout_s=CALL_TIMEOUT_S
    )


def _fail(error):
    return records.Answer(
        verdict=records.Verdict.UNANSWERED, detail=type(error).__name__
    )
