"""Play one seed: a fleet, callers, faults; then check what was seen."""

import dataclasses
import functools
import math
import random
import signal
import tempfile
import time

import anyio

from savoryyoke_soak import callers
from savoryyoke_soak import conf
from savoryyoke_soak import faults
from savoryyoke_soak import fleet
from savoryyoke_soak import promises
from savoryyoke_soak import proxies
from savoryyoke_soak import records

_ENTRY = ('-m', 'savoryyoke_platform.entry')
_FOREVER_S = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Hold what a run has shown."""

    seed: int
    faults: tuple[faults.Fault, ...]
    history: records.History
    breaches: list[promises.Breach]
    lines_by_entry: dict[int, list[str]]


def play(*, seed, seconds=conf.SECONDS, mutant=None, planned=None):
    """Run one seed and return its ``Outcome``.

    ``mutant`` names a promise that the entries then break; ``planned`` are
    faults in place of those that are drawn.
    """
    arguments = _ENTRY
    if mutant is not None:
        arguments = ('-m', 'savoryyoke_soak.mutants', mutant)
    if planned is None:
        planned = faults.draw_faults(
            seed=seed,
            seconds=seconds,
            entries=conf.ENTRIES,
            targets=conf.REPLICAS,
        )
    soak = Soak(
        seed=seed, seconds=seconds, planned=planned, arguments=arguments
    )
    return anyio.run(soak.run)


class Soak:
    """Own one run."""

    def __init__(self, *, seed, seconds, planned, arguments):
        self._seed = seed
        self._arguments = arguments
        self._history = records.History()
        self._faults = planned
        self._seconds = seconds
        # The newest version of the configuration that was seen in force.
        self._in_force_by_life = {}
        self._fleet = None

    async def run(self):
        """Play the run and return its ``Outcome``."""
        with tempfile.TemporaryDirectory() as directory:
            async with anyio.create_task_group() as group:
                self._fleet = fleet.Fleet(
                    group=group,
                    directory=directory,
                    history=self._history,
                    arguments=self._arguments,
                )
                try:
                    await self._fleet.start()
                    await self._play()
                finally:
                    self._fleet.end()
                group.cancel_scope.cancel()
        return Outcome(
            seed=self._seed,
            faults=self._faults,
            history=self._history,
            breaches=promises.check(self._history),
            lines_by_entry={
                place.number: place.lines for place in self._fleet.entries
            },
        )

    async def _play(self):
        stopped = anyio.Event()
        async with anyio.create_task_group() as calling:
            for number in range(conf.CALLERS):
                caller = callers.Caller(
                    history=self._history,
                    source=random.Random(f'{self._seed}/{number}'),
                    directories=self._fleet.directories,
                    find_life=self._fleet.find_life,
                )
                calling.start_soon(caller.run, stopped)
            calling.start_soon(self._change_configuration, stopped)
            calling.start_soon(self._probe, stopped)
            calling.start_soon(self._replace_crashed, stopped)
            async with anyio.create_task_group() as failing:
                started_s = time.monotonic()
                for fault in self._faults:
                    await _sleep_until(started_s + fault.at_s)
                    failing.start_soon(self._cause, fault)
                await _sleep_until(started_s + self._seconds)
            await anyio.sleep(conf.QUIET_S)
            stopped.set()

    async def _change_configuration(self, stopped):
        while not stopped.is_set():
            await anyio.sleep(conf.CONFIGURATION_GAP_S)
            self._fleet.publish_configuration()

    async def _probe(self, stopped):
        """Look at each entry's configuration again and again."""
        while not stopped.is_set():
            await anyio.sleep(0.3)
            for place in self._fleet.entries:
                if place.is_up and not place.is_busy:
                    await self._probe_entry(place)

    async def _probe_entry(self, place):
        life = place.life
        version = self._choose_version(life)
        sent_s = time.monotonic()
        in_force = await callers.probe(place.front, version)
        if in_force is None or life != place.life or place.is_busy:
            return
        if in_force:
            known = self._in_force_by_life.get(life, 0)
            self._in_force_by_life[life] = max(known, version)
        self._history.probes.append(
            records.Probe(
                life=life, version=version, at_s=sent_s, in_force=in_force
            )
        )

    def _choose_version(self, life):
        """Return the oldest version that a life lacks, or one that it has."""
        known = self._in_force_by_life.get(life, 0)
        if known < self._fleet.version:
            return known + 1
        return random.randint(1, known)

    async def _cause(self, fault):
        await _CAUSES_BY_KIND[fault.kind](self, fault)

    def note(self, kind, on, from_s, until_s=None):
        """Note a trouble that ends now, unless told otherwise."""
        self._history.troubles.append(
            records.Trouble(
                kind=kind,
                on=on,
                from_s=from_s,
                until_s=time.monotonic() if until_s is None else until_s,
            )
        )

    async def _on_entry(self, fault, act):
        """Let a fault befall an entry, unless another one is on it."""
        place = self._fleet.entries[fault.place]
        if place.is_busy or not place.is_up:
            return
        place.is_busy = True
        try:
            await act(place, fault)
        finally:
            place.is_busy = False

    async def _kill(self, place, fault):
        self.note('killed', place.life, time.monotonic(), _FOREVER_S)
        place.is_up = False
        place.child.kill()
        await self._return_entry(place, fault)

    async def _return_entry(self, place, fault):
        await place.child.wait(conf.STOP_S)
        await anyio.sleep(fault.for_s)
        await self._fleet.start_entry(place)
        await self._fleet.await_entry(place)

    async def _freeze(self, place, fault):
        from_s = time.monotonic()
        self.note('frozen', place.life, from_s, from_s + fault.for_s + 1.0)
        place.child.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        place.child.signal(signal.SIGCONT)
        self.note('frozen', place.life, from_s)

    async def _stop(self, place, fault):
        """Ask an entry to stop, repeatedly, as impatient operators do."""
        gone_s = time.monotonic() + conf.STOPPED_GONE_S
        self.note('stopped', place.life, gone_s, _FOREVER_S)
        for _ in range(3):
            place.child.signal(signal.SIGTERM)
            await anyio.sleep(0.05)
        status, took_s = await place.child.wait(conf.STOP_S)
        self._history.stops.append(
            records.Stop(life=place.life, status=status, took_s=took_s)
        )
        place.is_up = False
        place.child.kill()
        await self._return_entry(place, fault)

    async def _reload(self, place, fault):
        for _ in range(3):
            place.child.signal(signal.SIGHUP)
            await anyio.sleep(fault.for_s / 3)

    async def _tear_settings(self, place, fault):
        """Let an entry read a settings file that is half written."""
        text = place.settings_path.read_text()
        place.settings_path.write_text(text[: len(text) // 2])
        place.child.signal(signal.SIGHUP)
        await anyio.sleep(fault.for_s)
        place.settings_path.write_text(text)
        place.child.signal(signal.SIGHUP)

    async def _cut_from_store(self, fault, mode):
        place = self._fleet.entries[fault.place]
        from_s = time.monotonic()
        place.proxy.set_mode(mode)
        await anyio.sleep(fault.for_s)
        place.proxy.set_mode(proxies.Mode.PASS)
        # Whoever holds a silent connection finds that out after a while.
        self.note(
            'store-cut', place.life, from_s, time.monotonic() + conf.DRAIN_S
        )

    async def _fail_store(self, fault):
        from_s = time.monotonic()
        self._fleet.store.status = 500
        await anyio.sleep(fault.for_s)
        self._fleet.store.status = None
        self.note('store-error', 'store', from_s)

    async def _forget_history(self, fault):
        self._fleet.store.forget_history()

    async def _send_garbage(self, fault):
        self._fleet.store.garbage = b'{"AsOf": '

    async def _on_target(self, fault, act):
        place = self._fleet.targets[fault.place]
        if place.is_busy:
            return
        place.is_busy = True
        try:
            await act(place, fault)
        finally:
            place.is_busy = False

    async def _replace_crashed(self, stopped):
        """Start targets anew whose process has ended by itself."""
        while not stopped.is_set():
            await anyio.sleep(0.05)
            for place in self._fleet.targets:
                if place.child.has_ended and not place.is_busy:
                    place.is_busy = True
                    await anyio.sleep(conf.TARGET_RETURN_S)
                    self._fleet.remove_target(place)
                    await self._fleet.start_target(place)
                    place.is_busy = False

    async def _send_fatal_request(self, fault):
        caller = callers.Caller(
            history=self._history,
            source=random.Random(f'{self._seed}/{fault.at_s}'),
            directories=self._fleet.directories,
            find_life=self._fleet.find_life,
        )
        body = conf.FATAL_BODY + str(fault.at_s).encode()
        await caller.repeat(body, for_s=fault.for_s + conf.FATAL_FOR_S)

    async def _kill_target(self, place, fault):
        place.child.kill()
        await anyio.sleep(fault.for_s)
        self._fleet.remove_target(place)
        await self._fleet.start_target(place)

    async def _freeze_target(self, place, fault):
        place.child.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        place.child.signal(signal.SIGCONT)

    async def _drain_target(self, place, fault):
        self._fleet.drain_target(place)
        await anyio.sleep(conf.DRAIN_S + conf.BUSY_S + fault.for_s)
        self._fleet.remove_target(place)
        await self._fleet.start_target(place)

    async def _announce_leaving(self, place, fault):
        """Let a target say that it leaves while the list calls it ready."""
        place.child.signal(signal.SIGUSR1)
        await anyio.sleep(conf.DRAIN_S + conf.BUSY_S + fault.for_s)
        self._fleet.remove_target(place)
        await self._fleet.start_target(place)

    async def _ask_for_pause(self, place, fault):
        place.child.signal(signal.SIGUSR2)
        await anyio.sleep(conf.BUSY_FOR_S)

    async def _answer_without_end(self, place, fault):
        place.child.signal(signal.SIGHUP)
        await anyio.sleep(fault.for_s)

    async def _disturb_link(self, fault):
        proxy = self._fleet.targets[fault.place].proxy
        proxy.set_mode(proxies.Mode(fault.kind))
        await anyio.sleep(fault.for_s)
        proxy.set_mode(proxies.Mode.PASS)


async def _sleep_until(at_s):
    await anyio.sleep(max(at_s - time.monotonic(), 0.0))


def _entry_fault(act):
    return lambda soak, fault: soak._on_entry(
        fault, functools.partial(act, soak)
    )


def _target_fault(act):
    return lambda soak, fault: soak._on_target(
        fault, functools.partial(act, soak)
    )


def _store_fault(mode):
    return lambda soak, fault: soak._cut_from_store(fault, mode)


_CAUSES_BY_KIND = {
    'kill': _entry_fault(Soak._kill),
    'freeze': _entry_fault(Soak._freeze),
    'stop': _entry_fault(Soak._stop),
    'reload': _entry_fault(Soak._reload),
    'torn-settings': _entry_fault(Soak._tear_settings),
    'store-cut': _store_fault(proxies.Mode.RESET),
    'store-mute': _store_fault(proxies.Mode.SILENCE),
    'store-error': Soak._fail_store,
    'store-history': Soak._forget_history,
    'store-garbage': Soak._send_garbage,
    'fatal-request': Soak._send_fatal_request,
    'kill-target': _target_fault(Soak._kill_target),
    'freeze-target': _target_fault(Soak._freeze_target),
    'drain-target': _target_fault(Soak._drain_target),
    'leaving-target': _target_fault(Soak._announce_leaving),
    'busy-target': _target_fault(Soak._ask_for_pause),
    'endless-target': _target_fault(Soak._answer_without_end),
} | dict.fromkeys(faults.LINK_FAULTS, Soak._disturb_link)
