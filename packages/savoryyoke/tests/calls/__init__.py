"""Test non-idempotent calls."""
