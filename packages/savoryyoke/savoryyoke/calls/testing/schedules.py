"""Apply sequences of calls and failures to a simulated world."""

from savoryyoke.calls.testing import world as worlds

_WEIGHTS = {
    'call': 4,
    'repeat': 10,
    'repeat_other_body': 1,
    'leave': 1,
    'flow': 6,
    'deliver': 6,
    'duplicate': 2,
    'drop': 1,
    'hand_over': 6,
    'refuse': 3,
    'refuse_hand_over': 1,
    'complete': 4,
    'replace_application': 1,
    'advance': 8,
    'beat': 6,
    'tick': 2,
    'freeze_entry': 2,
    'freeze_target': 1,
    'thaw': 4,
    'cut': 1,
    'heal': 2,
    'restart_entry': 1,
    'restart_target': 1,
    'drain': 2,
    'abort_drain': 1,
    'reconnect': 1,
    'forget_predecessor': 1,
    'replace_drained': 2,
}
OPERATIONS = tuple(
    name for name, weight in _WEIGHTS.items() for _ in range(weight)
)
_STEPS_S = (0.001, 0.1, 0.2, 0.3, 0.3, 0.6, 1.1, 3.0)


class Schedule:
    """Apply operations to a world.

    Each operation takes two non-negative numbers, which select processes,
    keys, messages and durations.
    """

    def __init__(self, *, oracle, limits=worlds.LEDGER_LIMITS):
        self.world = worlds.World(oracle=oracle, targets=3, limits=limits)
        self._keys = []
        self._fingerprints_by_key = {}

    def run(self, steps):
        """Apply ``steps``, then complete all calls without failures.

        A step is an operation's name and its two numbers. Returns the number
        of attempts that got no answer.
        """
        for name, first_choice, second_choice in steps:
            getattr(self, f'_{name}')(first_choice, second_choice)
        self._finish()
        return sum(
            len(self.world.processes_by_slot[entry_id].attempts_by_id)
            for entry_id in self.world.entry_ids
        )

    def _finish(self):
        world = self.world
        world.cuts.clear()
        for slot in tuple(world.inboxes_by_frozen_slot):
            world.thaw(slot)
        for _ in range(6):
            world.deliver_all()
            for target_id in filter(world.is_awake, world.target_ids):
                while world.processes_by_slot[target_id].queue:
                    world.hand_over(target_id)
                while world.processes_by_slot[target_id].running:
                    world.complete(target_id)
            world.advance(1.1)

    def _pick(self, slots, choice):
        awake = [slot for slot in slots if self.world.is_awake(slot)]
        return awake[choice % len(awake)] if awake else None

    def _pick_target(self, choice):
        return self._pick(self.world.target_ids, choice)

    def _send(self, entry_id, key, fingerprint):
        if entry_id in self.world.processes_by_slot:
            timeout_s = 0.5 if int(key.suffix[1:]) % 2 else 4.0
            self.world.call(
                entry_id, key, fingerprint=fingerprint, timeout_s=timeout_s
            )

    def _call(self, first_choice, second_choice):
        entry_id = self.world.entry_ids[first_choice % 2]
        key = self.world.make_key(
            self.world.target_ids[second_choice % 2],
            suffix=f'k{len(self._keys)}',
            entry_id=entry_id,
        )
        if key is not None:
            self._keys.append(key)
            self._send(entry_id, key, b'a')

    def _repeat(self, first_choice, second_choice):
        if self._keys:
            key = self._keys[-1 - second_choice // 6 % len(self._keys)]
            self._send(self.world.entry_ids[first_choice % 2], key, b'a')

    def _repeat_other_body(self, first_choice, second_choice):
        if self._keys:
            self._send(
                self.world.entry_ids[first_choice % 2], self._keys[-1], b'b'
            )

    def _leave(self, first_choice, second_choice):
        entry_id = self._pick(self.world.entry_ids, first_choice)
        if entry_id is not None:
            self.world.disconnect_caller(entry_id)

    def _flow(self, first_choice, second_choice):
        self.world.deliver_all()

    def _deliver(self, first_choice, second_choice):
        if self.world.messages:
            self.world.deliver(first_choice % len(self.world.messages))

    def _duplicate(self, first_choice, second_choice):
        messages = self.world.messages
        if messages:
            messages.append(messages[first_choice % len(messages)])

    def _drop(self, first_choice, second_choice):
        if self.world.messages:
            self.world.messages.pop(first_choice % len(self.world.messages))

    def _hand_over(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.hand_over(target_id)

    def _refuse(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.refuse(target_id)

    def _refuse_hand_over(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.hand_over(target_id, accepts=False)

    def _complete(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.complete(target_id)

    def _replace_application(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.replace_application(target_id)

    def _advance(self, first_choice, second_choice):
        self.world.advance(_STEPS_S[first_choice % len(_STEPS_S)])

    def _beat(self, first_choice, second_choice):
        self.world.broadcast_stamps()

    def _tick(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.tick(target_id)

    def _freeze_entry(self, first_choice, second_choice):
        self.world.freeze(self.world.entry_ids[first_choice % 2])

    def _freeze_target(self, first_choice, second_choice):
        self.world.freeze(self.world.target_ids[first_choice % 3])

    def _thaw(self, first_choice, second_choice):
        frozen = sorted(self.world.inboxes_by_frozen_slot)
        if frozen:
            self.world.thaw(frozen[first_choice % len(frozen)])

    def _cut(self, first_choice, second_choice):
        slots = (*self.world.entry_ids, *self.world.target_ids)
        self.world.cuts.add(
            frozenset((slots[first_choice % 5], slots[second_choice % 5])),
        )

    def _heal(self, first_choice, second_choice):
        self.world.cuts.clear()

    def _restart_entry(self, first_choice, second_choice):
        self.world.start(self.world.entry_ids[first_choice % 2])

    def _restart_target(self, first_choice, second_choice):
        target_id = self.world.target_ids[first_choice % 3]
        if second_choice % 3 == 0:
            self.world.stop(target_id)
        else:
            self.world.start(target_id)

    def _drain(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        heir_id = self._pick_target(first_choice + 1 + second_choice % 2)
        if heir_id not in (None, target_id):
            self.world.drain(target_id, heir_id)

    def _abort_drain(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.abort_drain(target_id)

    def _reconnect(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.reconnect(target_id)

    def _forget_predecessor(self, first_choice, second_choice):
        target_id = self._pick_target(first_choice)
        if target_id is not None:
            self.world.report_lost_predecessors(target_id)

    def _replace_drained(self, first_choice, second_choice):
        for target_id in filter(self.world.is_awake, self.world.target_ids):
            ledger = self.world.processes_by_slot[target_id].ledger
            if not ledger.stamps(now_s=self.world.now_s):
                if not ledger.in_progress_count:
                    self.world.start(target_id)
