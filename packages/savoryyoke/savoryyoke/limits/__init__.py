"""Hold teams' rate limits over all entries together."""
