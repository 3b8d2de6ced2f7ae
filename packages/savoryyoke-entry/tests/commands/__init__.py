"""Test the operators' commands."""
