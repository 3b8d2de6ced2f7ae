"""Export the state of the gateway to Prometheus."""

import prometheus_client

_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    8.0,
)


class GatewayMetrics:
    """Own the metrics of one gateway process."""

    def __init__(self, *, registry):
        self.registry = registry
        self._requests = prometheus_client.Counter(
            'savoryyoke_gateway_requests',
            'Requests of callers that have ended.',
            ['service', 'outcome'],
            registry=registry,
        )
        self._durations = prometheus_client.Histogram(
            'savoryyoke_gateway_request_duration_seconds',
            'Time from the head of a request to the end of its answer.',
            ['service'],
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._first_bytes = prometheus_client.Histogram(
            'savoryyoke_gateway_first_byte_seconds',
            'Time from the sending of a try to the head of its answer.',
            ['service'],
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._tries = prometheus_client.Counter(
            'savoryyoke_gateway_tries',
            'Tries at targets that have ended.',
            ['service', 'result'],
            registry=registry,
        )
        self._readings = prometheus_client.Counter(
            'savoryyoke_gateway_platform_readings',
            'Readings of published values.',
            ['outcome'],
            registry=registry,
        )

        self._restored_platforms = prometheus_client.Counter(
            'savoryyoke_gateway_platform_restores',
            'Restorations of the platform from an older copy.',
            registry=registry,
        )
        self._crashes = prometheus_client.Counter(
            'savoryyoke_gateway_target_crashes',
            'Crashes of targets that this entry had requests at.',
            registry=registry,
        )

        self._hedges = prometheus_client.Counter(
            'savoryyoke_gateway_second_tries',
            'Tries that were begun beside a slow one.',
            ['service'],
            registry=registry,
        )
        self._notices = prometheus_client.Counter(
            'savoryyoke_gateway_target_notices',
            'Targets whose answers said that they leave, want a pause or limit'
            ' their requests per second.',
            ['kind'],
            registry=registry,
        )
        self._quarantined = prometheus_client.Counter(
            'savoryyoke_gateway_quarantined_requests',
            'Patterns of requests that crashed targets and were quarantined.',
            registry=registry,
        )
        self._withheld = prometheus_client.Counter(
            'savoryyoke_gateway_withheld_requests',
            'Attempts refused since their request is quarantined.',
            ['service'],
            registry=registry,
        )

        self._input_refusals = prometheus_client.Counter(
            'savoryyoke_gateway_input_refusals',
            'Connections whose input was refused or that were closed.',
            ['cause'],
            registry=registry,
        )

    def count_input_refusal(self, cause):
        """Count one refusal of input; ``cause`` names the limit."""
        self._input_refusals.labels(cause).inc()

    def count_restored_platform(self):
        """Count one restoration of the platform from an older copy."""
        self._restored_platforms.inc()

    def count_notice(self, kind):
        """Count a notice; ``kind`` names what it said."""
        self._notices.labels(kind).inc()

    def count_hedge(self, *, service):
        """Count one second try that runs concurrently with the first."""
        self._hedges.labels(service).inc()

    def count_quarantined(self):
        """Count one request that enters quarantine."""
        self._quarantined.inc()

    def count_withheld(self, *, service):
        """Count one attempt refused because its request is quarantined."""
        self._withheld.labels(service).inc()

    def count_crash(self):
        """Count one crash of a target."""
        self._crashes.inc()

    def count_request(self, *, service, outcome, duration_s):
        """Count one ended request."""
        self._requests.labels(service, outcome).inc()
        self._durations.labels(service).observe(duration_s)

    def count_try(self, *, service, result, first_byte_s):
        """Count one ended try."""
        self._tries.labels(service, result).inc()
        if first_byte_s is not None:
            self._first_bytes.labels(service).observe(first_byte_s)

    def count_reading(self, outcome):
        """Count one read of published values."""
        self._readings.labels(outcome).inc()

    def register_gauges(self, readers_by_name):
        """Register gauges from pairs of a help text and a read function.

        The read function is called whenever the gauge is collected.
        """
        for name, (text, read) in readers_by_name.items():
            gauge = prometheus_client.Gauge(
                f'savoryyoke_gateway_{name}', text, registry=self.registry
            )
            gauge.set_function(read)
