"""The operators' file: schema, parsing, merging and validation."""
