"""Adapter of the users' platform: its settings, messages and calls."""
