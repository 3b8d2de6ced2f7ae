"""Build problem details (RFC 9457) with stable types.

Each type states whether the call ran; ``docs/ref/problems.md`` lists them.
"""

import dataclasses
import json
import math

TYPE_PREFIX = 'urn:savoryyoke:problem:'
CONTENT_TYPE = 'application/problem+json'

RAN = 'ran'
NOT_RUN = 'not-run'
MAY_HAVE_RUN = 'may-have-run'


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProblemType:
    """Describe one stable type of problem.

    ``outcome`` states whether the call ran. ``advice`` tells callers what to
    do; it appears only in the reference.
    """

    name: str
    status: int
    title: str
    outcome: str
    advice: str


PROBLEM_TYPES_BY_NAME = {
    kind.name: kind
    for kind in (
        ProblemType(
            name='malformed-request',
            status=400,
            title='The request is malformed.',
            outcome=NOT_RUN,
            advice='Correct the request; `detail` names the invalid part.',
        ),
        ProblemType(
            name='unknown-team',
            status=403,
            title='The team is not known.',
            outcome=NOT_RUN,
            advice=(
                'Set the header `Savoryyoke-Team` to a team of the '
                "operators' file."
            ),
        ),
        ProblemType(
            name='unknown-operation',
            status=404,
            title='No service has this operation.',
            outcome=NOT_RUN,
            advice="Check method and path against the operators' file.",
        ),
        ProblemType(
            name='request-timeout',
            status=408,
            title='The request was not received in time.',
            outcome=NOT_RUN,
            advice='Send the body faster; send the request again.',
        ),
        ProblemType(
            name='body-too-large',
            status=413,
            title='The request is too large.',
            outcome=NOT_RUN,
            advice=(
                'Send a smaller body, or have the operators raise '
                '`--body-limit-bytes`.'
            ),
        ),
        ProblemType(
            name='key-reused',
            status=422,
            title='The idempotency key belongs to another request.',
            outcome=NOT_RUN,
            advice='Use a new key for each different request.',
        ),
        ProblemType(
            name='binding-required',
            status=428,
            title='The idempotency key carries no binding.',
            outcome=NOT_RUN,
            advice='Query the directory, or build the key from `binding`.',
        ),
        ProblemType(
            name='limit-exceeded',
            status=429,
            title='The team is over its limit.',
            outcome=NOT_RUN,
            advice='Retry after `Retry-After` seconds.',
        ),
        ProblemType(
            name='quarantined',
            status=422,
            title='This request crashes the targets that run it.',
            outcome=NOT_RUN,
            advice='Do not retry; report the request to the operators.',
        ),
        ProblemType(
            name='key-expired',
            status=409,
            title='The binding of the key has expired.',
            outcome=NOT_RUN,
            advice='Build a new key from a fresh binding.',
        ),
        ProblemType(
            name='internal-error',
            status=500,
            title='The entry failed; the call may have run.',
            outcome=MAY_HAVE_RUN,
            advice='Treat it as `may-have-run`; the log has the cause.',
        ),
        ProblemType(
            name='not-run',
            status=503,
            title='The call was refused and did not run.',
            outcome=NOT_RUN,
            advice='Retry with the same key after `Retry-After` seconds.',
        ),
        ProblemType(
            name='not-answered',
            status=503,
            title='The idempotent call got no answer; it may be repeated.',
            outcome=MAY_HAVE_RUN,
            advice='Retry the idempotent call after `Retry-After` seconds.',
        ),
        ProblemType(
            name='cut-off',
            status=503,
            title='This entry is cut off; use another.',
            outcome=NOT_RUN,
            advice='Use another entry; `detail` gives the reason.',
        ),
        ProblemType(
            name='may-have-run',
            status=504,
            title='The call may have run.',
            outcome=MAY_HAVE_RUN,
            advice='Retry later with the same key, or look up the effect.',
        ),
        ProblemType(
            name='answer-gone',
            status=410,
            title='The call ran; its answer is no longer kept.',
            outcome=RAN,
            advice='Do not retry; look up the effect of the call.',
        ),
        ProblemType(
            name='answer-truncated',
            status=502,
            title='The answer broke off and could not be resumed.',
            outcome=MAY_HAVE_RUN,
            advice=(
                'Discard the partial answer; retry after `Retry-After` '
                'seconds.'
            ),
        ),
    )
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """Describe one problem that is returned to a caller.

    ``name`` is a key of ``PROBLEM_TYPES_BY_NAME``. ``retry_after_s`` is None
    if a retry does not help. ``outcome`` defaults to that of the type.
    """

    name: str
    detail: str = ''
    reason: str = ''
    retry_after_s: float | None = None
    same_key_may_return: bool | None = None
    binding: str = ''
    outcome: str | None = None
    alternatives: tuple[str, ...] = ()

    @property
    def kind(self):
        """Return the problem's type."""
        return PROBLEM_TYPES_BY_NAME[self.name]

    def build_body(self):
        """Return the JSON body as bytes."""
        body = {
            'type': TYPE_PREFIX + self.name,
            'title': self.kind.title,
            'status': self.kind.status,
            'outcome': self.outcome or self.kind.outcome,
        }
        if self.detail:
            body['detail'] = self.detail
        if self.reason:
            body['reason'] = self.reason
        if self.retry_after_s is not None:
            body['retry_after_s'] = round(self.retry_after_s, 3)
        if self.same_key_may_return is not None:
            body['same_key_may_return'] = self.same_key_may_return
        if self.binding:
            body['binding'] = self.binding
        if self.alternatives:
            body['alternatives'] = list(self.alternatives)
        return json.dumps(body).encode()

    def build_headers(self):
        """Return the HTTP headers as pairs of bytes."""
        headers = [(b'content-type', CONTENT_TYPE.encode())]
        if self.retry_after_s is not None:
            seconds = max(1, math.ceil(self.retry_after_s))
            headers.append((b'retry-after', str(seconds).encode()))
        return headers
