"""Test the orders to engines."""
