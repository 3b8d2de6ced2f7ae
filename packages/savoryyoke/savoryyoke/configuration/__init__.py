"""The operators' file: its schema, merge rules, checks and revisions."""
