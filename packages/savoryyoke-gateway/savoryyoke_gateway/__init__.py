"""Forward callers' requests directly to targets over HTTP.

``daemon.Gateway`` assembles the process. The adapter of a platform provides
its settings, a source and an interpreter of published values, and a
translator of HTTP messages; see ``ports``.
"""
