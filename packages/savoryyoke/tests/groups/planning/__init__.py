"""Test the planning of expert maps."""
