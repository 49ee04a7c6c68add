"""Placeholder docstring."""
