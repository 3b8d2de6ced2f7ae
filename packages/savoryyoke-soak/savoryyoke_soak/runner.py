"""Run one seed of the soak and check the promises."""

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
    """Hold the results of one run."""

    seed: int
    faults: tuple[faults.Fault, ...]
    history: records.History
    breaches: list[promises.Breach]
    log_lines_by_entry: dict[int, list[str]]


def play(*, seed, seconds=conf.RUN_S, mutant=None, planned_faults=None):
    """Run one seed and return its ``Outcome``.

    Faults start for ``seconds``. ``mutant`` names a promise that the entries
    are made to break. ``planned_faults`` replace the faults that the seed
    generates.
    """
    arguments = _ENTRY
    if mutant is not None:
        arguments = ('-m', 'savoryyoke_soak.mutants', mutant)
    if planned_faults is None:
        planned_faults = faults.generate_faults(
            seed=seed,
            seconds=seconds,
            entries=conf.ENTRIES,
            targets=conf.REPLICAS,
        )
    soak = Soak(
        seed=seed,
        seconds=seconds,
        planned_faults=planned_faults,
        arguments=arguments,
    )
    return anyio.run(soak.run)


class Soak:
    """Run a fleet, its callers and its faults once."""

    def __init__(self, *, seed, seconds, planned_faults, arguments):
        self._seed = seed
        self._arguments = arguments
        self._history = records.History()
        self._faults = planned_faults
        self._seconds = seconds
        # The newest configuration version that a probe found in force.
        self._in_force_by_incarnation = {}
        self._fleet = None
        # While the store lacks what it has lost, nothing new is published.
        self._restores_running = 0

    async def run(self):
        """Run the fleet, check the promises and return the ``Outcome``."""
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
                    await self._run_load_and_faults()
                finally:
                    self._fleet.kill_all()
                group.cancel_scope.cancel()
        return Outcome(
            seed=self._seed,
            faults=self._faults,
            history=self._history,
            breaches=promises.check(self._history),
            log_lines_by_entry={
                entry.number: entry.log_lines for entry in self._fleet.entries
            },
        )

    async def _run_load_and_faults(self):
        stopped = anyio.Event()
        async with anyio.create_task_group() as caller_tasks:
            for number in range(conf.CALLERS):
                caller = callers.Caller(
                    history=self._history,
                    random_source=random.Random(f'{self._seed}/{number}'),
                    get_directories=self._fleet.get_directories,
                    find_incarnation=self._fleet.find_incarnation,
                )
                caller_tasks.start_soon(caller.run, stopped)
            caller_tasks.start_soon(self._change_configuration, stopped)
            caller_tasks.start_soon(self._probe, stopped)
            caller_tasks.start_soon(self._replace_crashed_targets, stopped)
            async with anyio.create_task_group() as fault_tasks:
                started_s = time.monotonic()
                for fault in self._faults:
                    await _sleep_until(started_s + fault.at_s)
                    fault_tasks.start_soon(self._run_fault, fault)
                await _sleep_until(started_s + self._seconds)
            await anyio.sleep(conf.QUIET_S)
            stopped.set()

    async def _change_configuration(self, stopped):
        while not stopped.is_set():
            await anyio.sleep(conf.CONFIGURATION_GAP_S)
            if not self._restores_running:
                self._fleet.publish_configuration()

    async def _probe(self, stopped):
        """Probe the configuration of each running entry repeatedly."""
        while not stopped.is_set():
            await anyio.sleep(0.3)
            for entry in self._fleet.entries:
                if entry.is_up and not entry.is_busy:
                    await self._probe_entry(entry)

    async def _probe_entry(self, entry):
        incarnation = entry.incarnation
        version = self._choose_version(incarnation)
        sent_s = time.monotonic()
        in_force = await callers.probe(entry.caller_address, version)
        if (
            in_force is None
            or incarnation != entry.incarnation
            or entry.is_busy
        ):
            return
        if in_force:
            newest = self._in_force_by_incarnation.get(incarnation, 0)
            self._in_force_by_incarnation[incarnation] = max(newest, version)
        self._history.probes.append(
            records.Probe(
                incarnation=incarnation,
                version=version,
                at_s=sent_s,
                in_force=in_force,
            )
        )

    def _choose_version(self, incarnation):
        """Return the configuration version to probe next.

        This is the oldest one not yet found in force, else a random one that
        was in force.
        """
        newest = self._in_force_by_incarnation.get(incarnation, 0)
        if newest < self._fleet.version:
            return newest + 1
        return random.randint(1, newest)

    async def _run_fault(self, fault):
        await _FAULT_RUNNERS_BY_KIND[fault.kind](self, fault)

    def record_trouble(self, kind, subject, from_s, until_s=None):
        """Record a ``Trouble``; it ends now if ``until_s`` is None."""
        self._history.troubles.append(
            records.Trouble(
                kind=kind,
                subject=subject,
                from_s=from_s,
                until_s=time.monotonic() if until_s is None else until_s,
            )
        )

    async def _run_on_entry(self, fault, action):
        """Run ``action`` on an entry that is up and has no other fault."""
        entry = self._fleet.entries[fault.index]
        if entry.is_busy or not entry.is_up:
            return
        entry.is_busy = True
        try:
            await action(entry, fault)
        finally:
            entry.is_busy = False

    async def _kill(self, entry, fault):
        self.record_trouble(
            'killed', entry.incarnation, time.monotonic(), _FOREVER_S
        )
        entry.is_up = False
        entry.child.kill()
        await self._restart_entry(entry, fault)

    async def _restart_entry(self, entry, fault):
        await entry.child.wait(conf.STOP_TIMEOUT_S)
        await anyio.sleep(fault.for_s)
        await self._fleet.start_entry(entry)
        await self._fleet.wait_until_ready(entry)

    async def _freeze(self, entry, fault):
        from_s = time.monotonic()
        self.record_trouble(
            'frozen', entry.incarnation, from_s, from_s + fault.for_s + 1.0
        )
        entry.child.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        entry.child.signal(signal.SIGCONT)
        self.record_trouble('frozen', entry.incarnation, from_s)

    async def _stop(self, entry, fault):
        """Stop an entry with several signals, as an operator may send them."""
        unreachable_s = time.monotonic() + conf.STOPPED_REACHABLE_S
        self.record_trouble(
            'stopped', entry.incarnation, unreachable_s, _FOREVER_S
        )
        for _ in range(3):
            entry.child.signal(signal.SIGTERM)
            await anyio.sleep(0.05)
        status, duration_s = await entry.child.wait(conf.STOP_TIMEOUT_S)
        self._history.stops.append(
            records.Stop(
                incarnation=entry.incarnation,
                status=status,
                duration_s=duration_s,
            )
        )
        entry.is_up = False
        entry.child.kill()
        await self._restart_entry(entry, fault)

    async def _reload(self, entry, fault):
        for _ in range(3):
            entry.child.signal(signal.SIGHUP)
            await anyio.sleep(fault.for_s / 3)

    async def _truncate_settings(self, entry, fault):
        """Make an entry read a settings file that is truncated."""
        text = entry.settings_path.read_text()
        entry.settings_path.write_text(text[: len(text) // 2])
        entry.child.signal(signal.SIGHUP)
        await anyio.sleep(fault.for_s)
        entry.settings_path.write_text(text)
        entry.child.signal(signal.SIGHUP)

    async def _cut_from_store(self, fault, mode):
        entry = self._fleet.entries[fault.index]
        from_s = time.monotonic()
        entry.proxy.set_mode(mode)
        await anyio.sleep(fault.for_s)
        entry.proxy.set_mode(proxies.Mode.PASS)
        # An entry needs some time to detect that its connection is dead.
        self.record_trouble(
            'store-cut',
            entry.incarnation,
            from_s,
            time.monotonic() + conf.DRAIN_DELAY_S,
        )

    async def _fail_store(self, fault):
        from_s = time.monotonic()
        self._fleet.store.status = 500
        await anyio.sleep(fault.for_s)
        self._fleet.store.status = None
        self.record_trouble('store-error', 'store', from_s)

    async def _drop_store_history(self, fault):
        self._fleet.store.forget_history()

    async def _restore_store(self, fault):
        """Replace the store by a copy that is ``for_s`` old."""
        store = self._fleet.store
        copy, version = store.copy(), self._fleet.version
        await anyio.sleep(fault.for_s)
        lost_s = time.monotonic()
        self._restores_running += 1
        store.status = 503
        await anyio.sleep(conf.RESTORE_OUTAGE_S)
        store.restore(copy)
        store.status = None
        restored_s = time.monotonic()
        await anyio.sleep(conf.REWRITE_DELAY_S)
        await self._wait_for_probes(version + 1, since_s=lost_s)
        self._fleet.publish_all_again()
        self._restores_running -= 1
        self.record_trouble('store-restored', 'store', lost_s)
        self._history.restores.append(
            records.Restore(
                first_lost_version=version + 1,
                lost_s=lost_s,
                restored_s=restored_s,
                rewritten_s=time.monotonic(),
            )
        )

    async def _wait_for_probes(self, first_lost_version, *, since_s):
        """Wait until probes asked restarted entries for a lost version.

        On a busy machine an entry may take seconds to start. Entries that do
        not answer within ``conf.START_TIMEOUT_S`` are not waited for.
        """
        if first_lost_version > self._fleet.version:
            return
        with anyio.move_on_after(conf.START_TIMEOUT_S):
            while self._find_unprobed_entries(first_lost_version, since_s):
                await anyio.sleep(0.05)

    def _find_unprobed_entries(self, first_lost_version, since_s):
        """Return starting entries, and started ones without such a probe."""
        probed_incarnations = {
            probe.incarnation
            for probe in self._history.probes
            if probe.version >= first_lost_version
        }
        return [
            entry
            for entry in self._fleet.entries
            if entry.started_s > since_s
            and (entry.is_busy or entry.incarnation not in probed_incarnations)
        ]

    async def _send_store_garbage(self, fault):
        self._fleet.store.garbage = b'{"AsOf": '

    async def _run_on_target(self, fault, action):
        target = self._fleet.targets[fault.index]
        if target.is_busy:
            return
        target.is_busy = True
        try:
            await action(target, fault)
        finally:
            target.is_busy = False

    async def _replace_crashed_targets(self, stopped):
        """Replace targets whose process has exited."""
        while not stopped.is_set():
            await anyio.sleep(0.05)
            for target in self._fleet.targets:
                if target.child.has_exited and not target.is_busy:
                    target.is_busy = True
                    await anyio.sleep(conf.TARGET_RETURN_S)
                    self._fleet.remove_target(target)
                    await self._fleet.start_target(target)
                    target.is_busy = False

    async def _send_fatal_request(self, fault):
        await self._send_fatal(fault, callers.Caller.send_repeatedly)

    async def _send_fatal_prompts(self, fault):
        """Send different requests that share one part of their prompts."""
        await self._send_fatal(fault, callers.Caller.send_prompts)

    async def _send_fatal(self, fault, send):
        caller = callers.Caller(
            history=self._history,
            random_source=random.Random(f'{self._seed}/{fault.at_s}'),
            get_directories=self._fleet.get_directories,
            find_incarnation=self._fleet.find_incarnation,
        )
        body = conf.FATAL_BODY + str(fault.at_s).encode()
        await send(caller, body, for_s=fault.for_s + conf.FATAL_FOR_S)

    async def _kill_target(self, target, fault):
        target.child.kill()
        await anyio.sleep(fault.for_s)
        self._fleet.remove_target(target)
        await self._fleet.start_target(target)

    async def _freeze_target(self, target, fault):
        target.child.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        target.child.signal(signal.SIGCONT)

    async def _drain_target(self, target, fault):
        self._fleet.drain_target(target)
        await anyio.sleep(
            conf.DRAIN_DELAY_S + conf.MACHINE_DELAY_S + fault.for_s
        )
        self._fleet.remove_target(target)
        await self._fleet.start_target(target)

    async def _announce_leaving(self, target, fault):
        """Make a target announce its leaving while published as ready."""
        target.child.signal(signal.SIGUSR1)
        await anyio.sleep(
            conf.DRAIN_DELAY_S + conf.MACHINE_DELAY_S + fault.for_s
        )
        self._fleet.remove_target(target)
        await self._fleet.start_target(target)

    async def _request_pause(self, target, fault):
        target.child.signal(signal.SIGUSR2)
        await anyio.sleep(conf.BUSY_FOR_S)

    async def _limit_rate(self, target, fault):
        limited_s_by_target = self._history.limited_s_by_target
        limited_s_by_target[target.target_id].append(time.monotonic())
        target.child.signal(signal.SIGRTMIN)
        await anyio.sleep(conf.LIMITED_FOR_S + fault.for_s)
        target.child.signal(signal.SIGRTMIN)

    async def _send_endless_answers(self, target, fault):
        target.child.signal(signal.SIGHUP)
        await anyio.sleep(fault.for_s)

    async def _disturb_link(self, fault):
        proxy = self._fleet.targets[fault.index].proxy
        proxy.set_mode(proxies.Mode(fault.kind))
        await anyio.sleep(fault.for_s)
        proxy.set_mode(proxies.Mode.PASS)


async def _sleep_until(at_s):
    await anyio.sleep(max(at_s - time.monotonic(), 0.0))


def _entry_fault(action):
    return lambda soak, fault: soak._run_on_entry(
        fault, functools.partial(action, soak)
    )


def _target_fault(action):
    return lambda soak, fault: soak._run_on_target(
        fault, functools.partial(action, soak)
    )


def _store_fault(mode):
    return lambda soak, fault: soak._cut_from_store(fault, mode)


_FAULT_RUNNERS_BY_KIND = {
    'kill': _entry_fault(Soak._kill),
    'freeze': _entry_fault(Soak._freeze),
    'stop': _entry_fault(Soak._stop),
    'reload': _entry_fault(Soak._reload),
    'torn-settings': _entry_fault(Soak._truncate_settings),
    'store-cut': _store_fault(proxies.Mode.RESET),
    'store-mute': _store_fault(proxies.Mode.SILENCE),
    'store-error': Soak._fail_store,
    'store-history': Soak._drop_store_history,
    'store-garbage': Soak._send_store_garbage,
    'store-restore': Soak._restore_store,
    'fatal-request': Soak._send_fatal_request,
    'fatal-prompts': Soak._send_fatal_prompts,
    'kill-target': _target_fault(Soak._kill_target),
    'freeze-target': _target_fault(Soak._freeze_target),
    'drain-target': _target_fault(Soak._drain_target),
    'leaving-target': _target_fault(Soak._announce_leaving),
    'busy-target': _target_fault(Soak._request_pause),
    'endless-target': _target_fault(Soak._send_endless_answers),
    'limited-target': _target_fault(Soak._limit_rate),
} | dict.fromkeys(faults.LINK_FAULTS, Soak._disturb_link)
