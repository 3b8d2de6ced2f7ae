"""Test map changes that the ranks' collective decides."""
