"""Defaults of map changes, in one place."""

CONCURRENT_LOADS = 8
RESEND_AFTER_S = 0.5
LOAD_TIMEOUT_S = 120.0
OFFER_TIMEOUT_S = 180.0
