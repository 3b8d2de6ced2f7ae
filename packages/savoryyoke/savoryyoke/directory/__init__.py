"""Select the entries that callers should use."""
