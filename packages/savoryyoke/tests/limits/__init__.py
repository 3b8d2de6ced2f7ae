"""Test the limits package."""
