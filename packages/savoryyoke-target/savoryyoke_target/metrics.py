"""Export the state of the target process to Prometheus."""

import prometheus_client


def register(registry, *, admission, ledger, dispatcher, plane):
    """Register gauges that compute their values at each collection."""
    gauges = {
        'savoryyoke_target_running': (
            'Calls that the back end runs.',
            lambda: admission.snapshot().running,
        ),
        'savoryyoke_target_queued': (
            'Calls that wait for the back end.',
            lambda: admission.snapshot().queued,
        ),
        'savoryyoke_target_concurrency_limit': (
            'Calls that the back end may run at once now.',
            lambda: admission.snapshot().concurrency_limit,
        ),
        'savoryyoke_target_cold': (
            'Whether the back end counts as cold.',
            lambda: admission.snapshot().cold,
        ),
        'savoryyoke_target_ledger_records': (
            'Non-idempotent calls that are remembered.',
            lambda: ledger.record_count,
        ),
        'savoryyoke_target_calls_served': (
            'Idempotent calls that were handed to the back end.',
            lambda: dispatcher.served,
        ),
        'savoryyoke_target_configuration_reports': (
            'Faults found in configurations since the start.',
            lambda: plane.report_count,
        ),
        'savoryyoke_target_calls_refused': (
            'Calls that admission refused.',
            lambda: dispatcher.refused,
        ),
    }
    for name, (text, read_value) in gauges.items():
        gauge = prometheus_client.Gauge(name, text, registry=registry)
        gauge.set_function(read_value)
