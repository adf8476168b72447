"""Decisions on load: what to expect, what to admit, what starts first."""
