"""Decisions on callers' bytes: what to hold, whom to refuse or close."""
