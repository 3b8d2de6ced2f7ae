"""Tell slow ranks from hot experts, and act on slow ranks."""
