"""Test the language of scenarios and that its checks can fail."""
