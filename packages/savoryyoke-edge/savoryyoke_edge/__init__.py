"""Logs, settings, metrics and platform readers shared by the daemons."""
