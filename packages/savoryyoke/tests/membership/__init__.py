"""Test the membership package."""
