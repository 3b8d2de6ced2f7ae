"""Turn the text of a scenario into its steps."""

import pathlib

import lark

from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import steps

PROMISES = (
    'one-map-per-step',
    'cold-target-limit',
    'data-centre-out',
    'whole-answer',
    'truthful-refusal',
    'at-most-once',
    'leaving-target',
    'graceful-stop',
    'config-in-force',
)
_EXPECTATIONS = (
    steps.AnswersWhole,
    steps.AllServed,
    steps.RunsOnce,
    steps.RefusalsTrue,
    steps.NoNewWork,
    steps.InForce,
    steps.NeverOlder,
    steps.RefusedFile,
    steps.Bearable,
    steps.CleanExit,
    steps.OneMap,
)
_GRAMMAR = pathlib.Path(__file__).with_name('grammar.lark')
_PARSER = lark.Lark(
    _GRAMMAR.read_text(), parser='lalr', propagate_positions=True
)
# Statements whose words are, in order, the fields named here.
_FIELDS_BY_RULE = {
    'start_traffic': (steps.StartTraffic, ('kind', 'team', 'rate_per_s')),
    'stop_traffic': (steps.StopTraffic, ()),
    'send_calls': (steps.SendCalls, ('count', 'kind', 'team')),
    'repeat_payment': (steps.RepeatPayment, ('number', 'entry')),
    'kill': (steps.Kill, ('place',)),
    'freeze': (steps.Freeze, ('place',)),
    'thaw': (steps.Thaw, ('place',)),
    'restart': (steps.Restart, ('place',)),
    'drain': (steps.Drain, ('place',)),
    'turn_cold': (steps.TurnCold, ('place',)),
    'cut': (steps.Cut, ('place', 'other')),
    'heal': (steps.Heal, ()),
    'list_leaving': (steps.ListLeaving, ('place',)),
    'list_live': (steps.ListLive, ('place',)),
    'set_fault': (steps.SetFault, ('place', 'fault', 'number')),
    'platform_state': (steps.PlatformState, ('state',)),
    'publish_team': (steps.PublishTeam, ('team',)),
    'publish_state': (steps.PublishState, ('data_centre', 'state')),
    'publish_map': (steps.PublishMap, ('digest',)),
    'publish_invalid': (steps.PublishInvalid, ()),
    'fail_at_random': (steps.FailAtRandom, ('seconds',)),
    'wait_seconds': (steps.WaitSeconds, ('seconds',)),
    'wait_ended': (steps.WaitEnded, ('count',)),
    'wait_ready': (steps.WaitReady, ()),
    'answers_whole': (steps.AnswersWhole, ()),
    'all_served': (steps.AllServed, ()),
    'runs_once': (steps.RunsOnce, ()),
    'refusals_true': (steps.RefusalsTrue, ()),
    'no_new_work': (steps.NoNewWork, ('place', 'seconds')),
    'in_force': (steps.InForce, ('seconds',)),
    'never_older': (steps.NeverOlder, ()),
    'refused_file': (steps.RefusedFile, ('seconds',)),
    'bearable': (steps.Bearable, ()),
    'clean_exit': (steps.CleanExit, ('place',)),
    'one_map': (steps.OneMap, ()),
}


def parse(text):
    """Return the ``Scenario`` of a text.

    Raise ``InvalidScenario`` with the line and the words expected there.
    """
    try:
        tree = _PARSER.parse(text.rstrip() + '\n')
    except lark.exceptions.UnexpectedInput as error:
        raise _explain(error) from error
    title, promise, seed, backing, *step_trees = tree.children
    scenario = steps.Scenario(
        title=str(title.children[0]).strip('"'),
        promise=_read_promise(promise.children[0]),
        seed=int(seed.children[0]),
        backing=str(backing.children[0]),
        steps=tuple(_read_step(step) for step in step_trees),
    )
    if not any(isinstance(step, _EXPECTATIONS) for step in scenario.steps):
        raise exceptions.InvalidScenario(
            line=scenario.steps[-1].line,
            problem='the scenario expects nothing',
            expected=('expect',),
        )
    return scenario


def _read_promise(token):
    if token not in PROMISES:
        raise exceptions.InvalidScenario(
            line=token.line,
            problem=f'unknown promise {token}',
            expected=PROMISES,
        )
    return str(token)


def _read_step(tree):
    (statement,) = tree.children
    kind, names = _FIELDS_BY_RULE[statement.data]
    values = map(_read_value, statement.children)
    fields = dict(zip(names, values, strict=True))
    return kind(line=tree.meta.line, **fields)


def _read_value(word):
    if isinstance(word, lark.Tree):
        return float(word.children[0])
    if word.type == 'INT':
        return int(word)
    return str(word)


def _explain(error):
    names = getattr(error, 'allowed', None) or getattr(error, 'expected', ())
    expected = sorted({_describe(name) for name in names})
    wrong = getattr(error, 'token', None)
    if wrong is None:
        wrong = getattr(error, 'char', '')
    return exceptions.InvalidScenario(
        line=max(error.line, 1),
        problem=f'unexpected {str(wrong).strip() or "end of line"}',
        expected=expected,
    )


def _describe(name):
    if name == '_NL':
        return 'end of line'
    if name in ('NAME', 'TEXT', 'INT', 'NUMBER', 'FAULT'):
        return name.lower()
    terminals = {terminal.name: terminal for terminal in _PARSER.terminals}
    if name not in terminals:
        return name
    pattern = terminals[name].pattern
    if isinstance(pattern, lark.lexer.PatternStr):
        return pattern.value
    words = pattern.value.replace('\\', '').removeprefix('(?:')
    return words.removesuffix(')').replace('|', ' or ')
