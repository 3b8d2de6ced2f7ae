"""Record what callers sent and what they were told."""

import dataclasses
import enum
import json

from savoryyoke_fakes import clients
from savoryyoke_fakes import engine

TOKENS = 24
NOT_RUN = 'not-run'


class Verdict(enum.Enum):
    """Say what one answer amounts to."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED_ALOUD = 'failed-aloud'
    WRONG = 'wrong'
    BROKEN_OFF = 'broken-off'
    UNANSWERED = 'unanswered'


ACCEPTABLE = (Verdict.SERVED, Verdict.REFUSED, Verdict.FAILED_ALOUD)
RETRIED = (Verdict.BROKEN_OFF, Verdict.UNANSWERED)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold the verdict on one try, and the outcome that it named."""

    verdict: Verdict
    outcome: str | None = None
    detail: str = ''


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold one request of a caller and the answers to all its tries.

    ``reference`` names a payment or is the prompt of a completion.
    """

    number: int
    kind: str
    reference: str
    key: str | None = None
    answers: list = dataclasses.field(default_factory=list)

    @property
    def last(self):
        """Return the answer to the last try."""
        return self.answers[-1]

    @property
    def claims_no_run(self):
        """Return whether the last word says that nothing ran.

        A later answer may tell more of the same key.
        """
        return bool(self.answers) and self.last.outcome == NOT_RUN


def judge_answer(call, answer):
    """Return the ``Answer`` that stands for what came over HTTP."""
    if answer.status >= 400:
        return _judge_refusal(answer)
    if call.kind == 'completions':
        return _judge_stream(call, answer)
    if not answer.whole:
        return Answer(verdict=Verdict.BROKEN_OFF)
    if call.kind == 'payments' and answer.document['paid'] != call.reference:
        return Answer(verdict=Verdict.WRONG, detail=str(answer.body))
    return Answer(verdict=Verdict.SERVED)


def _judge_refusal(answer):
    try:
        outcome = answer.outcome
    except ValueError:
        outcome = None
    if outcome is None:
        return Answer(verdict=Verdict.WRONG, detail=f'status {answer.status}')
    return Answer(
        verdict=Verdict.REFUSED,
        outcome=outcome,
        detail=answer.document.get('code', ''),
    )


def _judge_stream(call, answer):
    failed = b'event: error\ndata: ' in answer.body
    if failed:
        problem = answer.body.split(b'event: error\ndata: ')[1]
        outcome = json.loads(problem.split(b'\n')[0])['outcome']
        return Answer(verdict=Verdict.FAILED_ALOUD, outcome=outcome)
    indexes, ended = clients.read_tokens(answer)
    if not ended:
        return Answer(verdict=Verdict.BROKEN_OFF)
    words = [
        json.loads(event[6:])['choices'][0]['text'].strip()
        for event in answer.body.split(b'\n\n')
        if event.startswith(b'data: {')
    ]
    expected = [
        engine.compute_token(call.reference, index) for index in range(TOKENS)
    ]
    if indexes != list(range(TOKENS)) or words != expected:
        return Answer(verdict=Verdict.WRONG, detail=f'tokens {indexes}')
    return Answer(verdict=Verdict.SERVED)
