"""Test the handling of slow ranks."""
