"""Provide the entry daemon and the operators' commands."""
