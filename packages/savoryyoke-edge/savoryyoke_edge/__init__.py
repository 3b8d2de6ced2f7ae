"""Logs, settings, servers and network code that the daemons share."""
