"""Show the whole path: callers, entries, targets and what stands behind.

Everything runs on this machine: three entry daemons, five target processes,
and stand-ins for the engines, the application and the platform.
"""

import dataclasses
import sys

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets

TOKENS = 24
PROMPT = 'Summarise the certificate.'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Hold one line of the table of outcomes."""

    step: str
    expected: str
    seen: str

    @property
    def held(self):
        """Tell whether the outcome is the expected one."""
        return self.expected == self.seen


def show(text):
    """Print one line of the story."""
    print(f'  {text}', flush=True)


def run_completion(client):
    """Stream a completion and check that each token came once."""
    answer = client.complete(PROMPT, max_tokens=TOKENS)
    indexes, ended = clients.read_tokens(answer)
    whole = ended and indexes == list(range(TOKENS))
    return Row(
        step='streamed completion',
        expected='200, all tokens once, explicit end',
        seen=f'{answer.status}, '
        + ('all tokens once, explicit end' if whole else 'not whole'),
    )


def run_lookup(client):
    """Look a balance up."""
    answer = client.look_up()
    return Row(step='lookup', expected='200', seen=str(answer.status))


def run_payment(fleet, client):
    """Pay, and send the same payment again through another entry."""
    key = client.build_key(fleets.ACCOUNT, 'invoice-17')
    first = client.pay('invoice-17', key)
    other = fleet.entry_addresses[-1]
    second = client.pay('invoice-17', key, address=other)
    runs = fleet.count_runs().get('invoice-17', 0)
    same = 'same answer' if first.body == second.body else 'other answer'
    return Row(
        step='payment, sent twice through two entries',
        expected='200 and 200, same answer, 1 run',
        seen=f'{first.status} and {second.status}, {same}, {runs} run',
    )


def run_failed_entry(fleet, client):
    """Kill the entry in use and go on with the next one."""
    victim = fleet.entry_addresses[0]
    for name, address in fleet.addresses_by_name.items():
        if address == victim:
            fleet.processes_by_name[name].kill()
            show(f'killed {name}')
    client.ask_directory()
    answer = client.look_up(address=fleet.entry_addresses[0])
    return Row(
        step='lookup after an entry was killed',
        expected='200',
        seen=str(answer.status),
    )


def run_failed_target(fleet, client):
    """Kill the engine while it streams; another one goes on."""
    for vm_id in ('engine-a', 'engine-b'):
        fleet.set_backend_faults(vm_id, truncate_after=TOKENS // 2)
    answer = client.complete(
        'Draft a decision.',
        max_tokens=TOKENS,
        address=fleet.entry_addresses[0],
    )
    indexes, ended = clients.read_tokens(answer)
    whole = ended and indexes == list(range(TOKENS))
    return Row(
        step='completion while engines crash half way',
        expected='200, whole',
        seen=f'{answer.status}, ' + ('whole' if whole else 'not whole'),
    )


def run_unbound_payment(fleet, client):
    """Send a payment whose key names no target."""
    answer = client.pay(
        'invoice-18', 'plain-key', address=fleet.entry_addresses[0]
    )
    runs = fleet.count_runs().get('invoice-18', 0)
    return Row(
        step='payment with a key that is not bound',
        expected='428 not-run, 0 runs',
        seen=f'{answer.status} {answer.outcome}, {runs} runs',
    )


def print_table(rows):
    """Print what was expected and what was seen."""
    width = max(len(row.step) for row in rows)
    print('\noutcomes:')
    for row in rows:
        mark = 'ok    ' if row.held else 'BROKEN'
        print(f'  {mark} {row.step:{width}}  {row.seen}')
    print(
        '\nwhere to look next: README.md to start the processes by hand,\n'
        'docs/DESIGN.md for how a request travels, make test for the proofs'
    )


def main():
    """Run the demonstration and return the exit status."""
    print('savoryyoke: one request of each kind through real processes\n')
    with fleets.Fleet(report=show) as fleet:
        client = clients.Client(
            team='members', entry_addresses=fleet.entry_addresses
        )
        directory = client.ask_directory()
        show(f'the directory names {len(directory["entries"])} entries')
        rows = [
            run_completion(client),
            run_lookup(client),
            run_payment(fleet, client),
            run_unbound_payment(fleet, client),
            run_failed_entry(fleet, client),
            run_failed_target(fleet, client),
        ]
    print_table(rows)
    return 0 if all(row.held for row in rows) else 1


if __name__ == '__main__':
    sys.exit(main())
