"""Judge the records of a run; each check returns problems in words."""

import collections

from savoryyoke_fakes.scenarios import records


def find_unanswered(calls):
    """Return the calls with no whole answer and no refusal in words."""
    return [
        _describe(call)
        for call in calls
        if not call.answers
        or call.last.verdict not in records.ACCEPTABLE
        or any(a.verdict is records.Verdict.WRONG for a in call.answers)
    ]


def find_unserved(calls):
    """Return the calls that were not served whole at their first try."""
    return [
        _describe(call)
        for call in calls
        if not call.answers
        or call.answers[0].verdict is not records.Verdict.SERVED
    ]


def find_double_runs(calls, runs_by_reference):
    """Return the payments that ran more than once."""
    return [
        f'{reference} ran {count} times'
        for reference, count in runs_by_reference.items()
        if count > 1
    ]


def find_false_refusals(calls, runs_by_reference):
    """Return the payments that ran although all answers deny it.

    A payment that one answer calls served must have run, too.
    """
    calls_by_reference = collections.defaultdict(list)
    for call in calls:
        if call.kind == 'payments':
            calls_by_reference[call.reference].append(call)
    problems = []
    for reference, same in calls_by_reference.items():
        runs = runs_by_reference.get(reference, 0)
        if runs and all(call.claims_no_run for call in same):
            problems.append(f'{reference} ran, told not-run')
        served = records.Verdict.SERVED
        if not runs and any(
            call.answers and call.last.verdict is served for call in same
        ):
            problems.append(f'{reference} was told to have run, did not')
    return problems


def count_verdicts(calls):
    """Return how often each last verdict came, by its name."""
    counts = collections.Counter(
        call.last.verdict.value for call in calls if call.answers
    )
    counts['retried'] = sum(len(call.answers) > 1 for call in calls)
    return dict(sorted(counts.items()))


def _describe(call):
    answers = [
        ' '.join(filter(None, (a.verdict.value, a.outcome, a.detail)))
        for a in call.answers
    ]
    return f'{call.reference}: {", ".join(answers) or "no answer"}'
