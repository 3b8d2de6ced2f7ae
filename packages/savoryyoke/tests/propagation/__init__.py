"""Test the propagation package."""
