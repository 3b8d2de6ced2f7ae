"""Send orders to engines so that outdated orders take no effect."""
