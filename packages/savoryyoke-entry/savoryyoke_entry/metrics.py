"""Export the state of the entry daemon to Prometheus."""

import prometheus_client


class EntryMetrics:
    """Count requests and export gauges of the entry's state."""

    def __init__(self, *, registry):
        self._registry = registry
        labels = ['service', 'operation', 'outcome']
        self._requests = prometheus_client.Counter(
            'savoryyoke_entry_requests',
            'Requests of callers that have ended.',
            labels,
            registry=registry,
        )
        self._durations = prometheus_client.Histogram(
            'savoryyoke_entry_request_duration_seconds',
            'Time from the headers of a request to the end of its answer.',
            ['service', 'operation'],
            registry=registry,
        )

    def count(self, *, service, operation, outcome, duration_s):
        """Count one ended request."""
        self._requests.labels(service, operation, outcome).inc()
        self._durations.labels(service, operation).observe(duration_s)

    def register_state(self, *, application, fleet, plane):
        """Register gauges that read the state when they are collected."""
        gauges = {
            'savoryyoke_entry_in_flight': (
                'Requests that have no answer yet.',
                lambda: application.in_flight,
            ),
            'savoryyoke_entry_targets_connected': (
                'Targets with a connection.',
                lambda: fleet.connected_target_count,
            ),
            'savoryyoke_entry_targets_known': (
                'Targets that should have a connection.',
                lambda: fleet.expected_target_count,
            ),
            'savoryyoke_entry_configuration_reports': (
                'Faults found in configurations since the start.',
                lambda: plane.report_count,
            ),
            'savoryyoke_entry_control_sent_bytes': (
                'Bytes of control datagrams sent since the start.',
                lambda: plane.sent_bytes,
            ),
            'savoryyoke_entry_control_received_bytes': (
                'Bytes of control datagrams received since the start.',
                lambda: plane.received_bytes,
            ),
        }
        for name, (text, read) in gauges.items():
            gauge = prometheus_client.Gauge(
                name, text, registry=self._registry
            )
            gauge.set_function(read)
