"""Measure service while a data centre stops and returns with cold targets.

One of three data centres is taken out (planned) or fails (abrupt) and returns
with cold targets. Prints one line of key=value pairs for each case, policy
and kind of call. Run it as ``python -m tools.measure.data_centre_change``.

All policies get the same delayed list of targets and the same refusals by
targets. Callers don't repeat a refused call.
"""

from savoryyoke.routing import events
from tools.measure import routing_policies
from tools.measure import traffic

SEED = 1
ENTRIES = 8
TARGETS = 12
DATA_CENTRES = 3
CHANGED_DATA_CENTRE = 1
LOADS_PER_S = (18.0, 24.0)
LEAVES_AT_S = 60.0
RETURNS_AT_S = 120.0
UNTIL_S = 200.0
GRACE_S = 5.0
LIST_LAG_S = 15.0
CONFIGURATION_DELAY_S = 1.0
CONNECTION_LOSS_S = 1.0
CONNECT_DELAY_S = 0.5
POLICIES = {
    'routed': routing_policies.RouterPolicy,
    'round_robin': routing_policies.RoundRobin,
    'least_reported': routing_policies.LeastReported,
}


class DataCentreChange:
    """Schedule the stop and the return of one data centre."""

    def __init__(self, *, world):
        self._world = world
        self._targets = [
            target
            for target in world.targets
            if target.data_centre == CHANGED_DATA_CENTRE
        ]
        self._numbers = [target.number for target in self._targets]
        self._remaining_numbers = [
            target.number
            for target in world.targets
            if target.data_centre != CHANGED_DATA_CENTRE
        ]

    def schedule_planned(self):
        """Schedule a removal and a return by the operators."""
        world = self._world
        world.schedule(LEAVES_AT_S, self._set_leaving)
        world.schedule(RETURNS_AT_S, self._return)
        for policy in world.policies:
            for at_s, state in (
                (LEAVES_AT_S, events.DataCentreState.OUT),
                (RETURNS_AT_S, events.DataCentreState.IN),
            ):
                delay_s = CONFIGURATION_DELAY_S * world.generator.random()
                world.schedule(
                    at_s + delay_s,
                    policy.on_data_centre,
                    CHANGED_DATA_CENTRE,
                    state,
                )
        self._schedule_lists()

    def schedule_abrupt(self):
        """Schedule a failure and a restart of the data centre."""
        self._world.schedule(LEAVES_AT_S, self._fail)
        self._world.schedule(RETURNS_AT_S, self._return)
        self._schedule_lists()

    def _schedule_lists(self):
        world = self._world
        all_numbers = self._numbers + self._remaining_numbers
        for policy in world.policies:
            for at_s, numbers in (
                (LEAVES_AT_S, self._remaining_numbers),
                (RETURNS_AT_S, all_numbers),
            ):
                world.schedule(
                    at_s + LIST_LAG_S, policy.on_target_list, numbers
                )

    def _set_leaving(self):
        for target in self._targets:
            target.leaving = True

    def _fail(self):
        for target in self._targets:
            interrupted_calls = target.fail()
            for call in interrupted_calls:
                self._world.schedule(
                    CONNECTION_LOSS_S, self._resend, call, target.number
                )
        for policy in self._world.policies:
            for number in self._numbers:
                self._world.schedule(
                    CONNECTION_LOSS_S, policy.on_connection, number, False
                )

    def _resend(self, call, number):
        call.first_token_s = None
        self._world.policies[call.entry].on_interrupted(call, number)
        self._world.retry(call, number)

    def _return(self):
        for target in self._targets:
            target.restart()
        for policy in self._world.policies:
            for number in self._numbers:
                self._world.schedule(
                    CONNECT_DELAY_S, policy.on_connection, number, True
                )


def measure(*, planned, policy, calls_per_s, seed=SEED):
    """Simulate a change under a policy; return the world after it."""
    world = traffic.make_world(
        policy=policy,
        entries=ENTRIES,
        targets=TARGETS,
        data_centres=DATA_CENTRES,
        seed=seed,
    )
    traffic.schedule_calls(
        world,
        calls_per_s=calls_per_s,
        until_s=UNTIL_S,
        teams=10,
        conversations=100,
        entries=ENTRIES,
        seed=seed,
    )
    change = DataCentreChange(world=world)
    if planned:
        change.schedule_planned()
    else:
        change.schedule_abrupt()
    world.run(until_s=UNTIL_S + 120.0)
    return world


def count_outcomes(calls, *, kind, deadline_s):
    """Return the counts of one kind of call by name.

    ``deadline_s`` is the time after which a first token is late.
    """
    calls_of_kind = [call for call in calls if call.kind == kind]
    answered = [call for call in calls_of_kind if call.outcome == 'answered']
    late = sum(call.first_token_s > deadline_s for call in answered)
    refused = sum(call.outcome == 'refused' for call in calls_of_kind)
    return {
        'calls': len(calls_of_kind),
        'answered': len(answered),
        'refused': refused,
        'late': late,
        'open': len(calls_of_kind) - len(answered) - refused,
    }


def main():
    """Measure every case, policy and kind of call."""
    for calls_per_s in LOADS_PER_S:
        for planned in (True, False):
            for name, policy in POLICIES.items():
                world = measure(
                    planned=planned, policy=policy, calls_per_s=calls_per_s
                )
                _print_case(
                    world,
                    prefix=f'change={"planned" if planned else "abrupt"} '
                    f'calls_per_s={calls_per_s} policy={name} seed={SEED}',
                )


def count_late_tries(world):
    """Return the tries sent to the data centre over 5 s after its stop."""
    return sum(
        LEAVES_AT_S + GRACE_S < at_s < RETURNS_AT_S
        and world.targets[number].data_centre == CHANGED_DATA_CENTRE
        for at_s, number in world.deliveries
    )


def _print_case(world, *, prefix):
    print(f'{prefix} tries_after_5_s={count_late_tries(world)}')
    calls = [
        call for call in world.calls if call.arrived_s >= LEAVES_AT_S - 20.0
    ]
    for kind, _, _, deadline_s in traffic.KINDS:
        values = count_outcomes(calls, kind=kind, deadline_s=deadline_s)
        text = ' '.join(f'{key}={value}' for key, value in values.items())
        print(f'{prefix} kind={kind} {text}', flush=True)


if __name__ == '__main__':
    main()
