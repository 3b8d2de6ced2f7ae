"""Test the retries package."""
