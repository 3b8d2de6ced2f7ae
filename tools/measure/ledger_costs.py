"""Measure a ledger's time and memory for several numbers of records."""

import time
import tracemalloc

from savoryyoke.calls import conf
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import authority
from savoryyoke.calls.ledger import events
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes
from tools.measure import reports

RECORD_COUNTS = (10_000, 20_000, 40_000)


def measure_calls():
    """Measure the bytes of a record and the time for a call's events."""
    for body_bytes in (0, 256):
        for count in RECORD_COUNTS:
            _measure_records(count, body_bytes)


def _measure_records(count, body_bytes):
    limits = conf.LedgerLimits(
        record_limit=count + 1, answers_limit_bytes=2**40
    )
    key_texts = [f'sy1~t1~{1:016x}~0~order-{i:08}' for i in range(count)]
    tracemalloc.start()
    ledger = _build_ledger(key_texts, limits, body_bytes)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.perf_counter()
    ledger = _build_ledger(key_texts, limits, body_bytes)
    call_s = (time.perf_counter() - started_s) / count
    started_s = time.perf_counter()
    for key_text in key_texts:
        ledger.apply(_make_offer(keys.parse(key_text)), now_s=1.0)
    repeat_s = (time.perf_counter() - started_s) / count
    started_s = time.perf_counter()
    ledger.apply(events.Ticked(), now_s=1.0)
    tick_s = time.perf_counter() - started_s
    reports.print_line(
        'ledger',
        records=ledger.record_count,
        body_bytes=body_bytes,
        bytes_per_record=round(memory_bytes / count),
        microseconds_per_call=round(call_s * 1e6, 1),
        microseconds_per_repeat=round(repeat_s * 1e6, 1),
        microseconds_per_tick=round(tick_s * 1e6, 1),
    )


def measure_handover():
    """Measure the time for a hand-over to another target's ledger."""
    heir = snapshots.Heir(target_id='t2', incarnation=2)
    for count in RECORD_COUNTS:
        limits = conf.LedgerLimits(record_limit=count + 1)
        key_texts = [f'sy1~t1~{1:016x}~0~order-{i:08}' for i in range(count)]
        ledger = _build_ledger(key_texts, limits, 0)
        heir_ledger = authority.Ledger(
            target_id='t2', incarnation=2, started_s=0.0, limits=limits
        )
        started_s = time.perf_counter()
        (export,) = ledger.apply(events.DrainStarted(heir=heir), now_s=1.0)
        exported_s = time.perf_counter()
        inherited_event = events.SnapshotReceived(snapshot=export.snapshot)
        heir_ledger.apply(inherited_event, now_s=1.0)
        imported_s = time.perf_counter()
        reports.print_line(
            'handover',
            records=heir_ledger.record_count,
            export_milliseconds=round((exported_s - started_s) * 1e3, 1),
            import_milliseconds=round((imported_s - exported_s) * 1e3, 1),
        )


def _make_offer(key):
    return events.Offered(
        key=key,
        fingerprint=key.suffix.encode().ljust(16, b'.'),
        attempt_id='e1/1',
        number=0,
        stamp_ms=0,
        remaining_s=5.0,
    )


def _build_ledger(key_texts, limits, body_bytes):
    ledger = authority.Ledger(
        target_id='t1', incarnation=1, started_s=0.0, limits=limits
    )
    for key_text in key_texts:
        key = keys.parse(key_text)
        ledger.apply(_make_offer(key), now_s=0.0)
        ledger.apply(events.HandOverRequested(key=key), now_s=0.0)
        answer = outcomes.Answer(status=200, body=bytes(body_bytes))
        completed = events.Completed(key=key, answer=answer)
        ledger.apply(completed, now_s=0.0)
    return ledger
