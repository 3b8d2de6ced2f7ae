"""Command-line interface of the binaries."""
