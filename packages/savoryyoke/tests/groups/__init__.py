"""Test the groups package."""
