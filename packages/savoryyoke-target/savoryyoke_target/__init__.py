"""Target process: accept calls for one engine or application."""
