"""Tell callers which entries to use."""
