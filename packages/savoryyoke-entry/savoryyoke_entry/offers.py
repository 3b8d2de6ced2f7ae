"""Build the ``Call`` messages of idempotent requests."""

import json

from savoryyoke_edge import crash_reports
from savoryyoke_entry import conf
from savoryyoke_wire import messages


def build_call(
    request, *, call_id, fingerprint, reports, resume_index, delivered, now_s
):
    """Return the ``Call`` message that sends a request to a target.

    ``reports`` are the crash reports of a suspect request. ``delivered``
    holds the bytes of the first ``resume_index`` events, which the caller
    has already received.
    """
    remaining_s = request.deadline_s - now_s
    return messages.Call(
        call_id=call_id,
        service=request.route.service_name,
        operation=request.route.operation_name,
        team=request.team_name,
        team_weight=request.team_weight,
        priority=request.priority,
        remaining_ms=max(1, int(remaining_s * 1000)),
        idempotent=True,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        streamed=request.streamed,
        resume_index=resume_index,
        resume_text=_extract_texts(delivered) if resume_index else '',
        cost=request.cost,
        credit_bytes=conf.CREDIT_BYTES,
        fingerprint=fingerprint,
        crash_reports=crash_reports.pack(reports),
    )


def _extract_texts(delivered):
    """Return the text that the caller has received, to resume after it."""
    events = delivered.split(b'\n\n')
    return ''.join(_extract_text(event) for event in events if event)


def _extract_text(event):
    """Return the text of one server-sent event of a completion."""
    try:
        choice = json.loads(event.removeprefix(b'data: '))['choices'][0]
        if 'text' in choice:
            return str(choice['text'])
        return str(choice['delta'].get('content') or '')
    except (
        KeyError,
        IndexError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return ''
