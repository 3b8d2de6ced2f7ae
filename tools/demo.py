"""Demonstrate requests through callers, entries, targets and back ends.

Everything runs on this machine: three entry daemons, five target processes,
and fakes of the engines, the application and the platform.
"""

import dataclasses
import sys

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets

TOKENS = 24
PROMPT = 'Summarise the certificate.'


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepOutcome:
    """Hold the expected and the observed outcome of one step."""

    step: str
    expected: str
    observed: str

    @property
    def as_expected(self):
        """Return whether the observed outcome is the expected one."""
        return self.expected == self.observed


def print_progress(text):
    """Print one indented line about the progress."""
    print(f'  {text}', flush=True)


def run_completion(client):
    """Stream a completion and check that each token came once."""
    answer = client.complete(PROMPT, max_tokens=TOKENS)
    indexes, ended = clients.read_tokens(answer)
    whole = ended and indexes == list(range(TOKENS))
    return StepOutcome(
        step='streamed completion',
        expected='200, all tokens once, explicit end',
        observed=f'{answer.status}, '
        + ('all tokens once, explicit end' if whole else 'not whole'),
    )


def run_lookup(client):
    """Look up a balance."""
    answer = client.look_up()
    return StepOutcome(
        step='lookup', expected='200', observed=str(answer.status)
    )


def run_payment(fleet, client):
    """Pay, and send the same payment again through another entry."""
    key = client.build_key(fleets.ACCOUNT, 'invoice-17')
    first = client.pay('invoice-17', key)
    other_address = fleet.entry_addresses[-1]
    second = client.pay('invoice-17', key, address=other_address)
    runs = fleet.count_runs().get('invoice-17', 0)
    answers = 'same answer' if first.body == second.body else 'other answer'
    return StepOutcome(
        step='payment, sent twice through two entries',
        expected='200 and 200, same answer, 1 run',
        observed=f'{first.status} and {second.status}, {answers}, {runs} run',
    )


def run_failed_entry(fleet, client):
    """Kill the entry in use and send a lookup through another entry."""
    killed_address = fleet.entry_addresses[0]
    for name, address in fleet.addresses_by_name.items():
        if address == killed_address:
            fleet.processes_by_name[name].kill()
            print_progress(f'killed {name}')
    client.ask_directory()
    answer = client.look_up(address=fleet.entry_addresses[0])
    return StepOutcome(
        step='lookup after an entry was killed',
        expected='200',
        observed=str(answer.status),
    )


def run_failed_target(fleet, client):
    """Cut the streams of two engines half way; a third must continue."""
    for vm_id in ('engine-a', 'engine-b'):
        fleet.set_backend_faults(vm_id, truncate_after=TOKENS // 2)
    answer = client.complete(
        'Draft a decision.',
        max_tokens=TOKENS,
        address=fleet.entry_addresses[0],
    )
    indexes, ended = clients.read_tokens(answer)
    whole = ended and indexes == list(range(TOKENS))
    return StepOutcome(
        step='completion while engines crash half way',
        expected='200, whole',
        observed=f'{answer.status}, ' + ('whole' if whole else 'not whole'),
    )


def run_unbound_payment(fleet, client):
    """Send a payment whose key is not bound to a target."""
    answer = client.pay(
        'invoice-18', 'plain-key', address=fleet.entry_addresses[0]
    )
    runs = fleet.count_runs().get('invoice-18', 0)
    return StepOutcome(
        step='payment with a key that is not bound',
        expected='428 not-run, 0 runs',
        observed=f'{answer.status} {answer.outcome}, {runs} runs',
    )


def print_table(outcomes):
    """Print for each step whether it went as expected and its outcome."""
    width = max(len(outcome.step) for outcome in outcomes)
    print('\noutcomes:')
    for outcome in outcomes:
        mark = 'ok    ' if outcome.as_expected else 'BROKEN'
        print(f'  {mark} {outcome.step:{width}}  {outcome.observed}')
    print(
        '\nwhere to look next: README.md to start the processes by hand,\n'
        'docs/DESIGN.md for how a request travels, make test for the proofs'
    )


def main():
    """Run the demonstration and return the exit status."""
    print('savoryyoke: one request of each kind through real processes\n')
    with fleets.Fleet(report=print_progress) as fleet:
        client = clients.Client(
            team='members', entry_addresses=fleet.entry_addresses
        )
        directory = client.ask_directory()
        print_progress(
            f'the directory names {len(directory["entries"])} entries'
        )
        outcomes = [
            run_completion(client),
            run_lookup(client),
            run_payment(fleet, client),
            run_unbound_payment(fleet, client),
            run_failed_entry(fleet, client),
            run_failed_target(fleet, client),
        ]
    print_table(outcomes)
    return 0 if all(outcome.as_expected for outcome in outcomes) else 1


if __name__ == '__main__':
    sys.exit(main())
