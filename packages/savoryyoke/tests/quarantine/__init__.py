"""Test the quarantine package."""
