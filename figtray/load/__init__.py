"""Open-loop load generator for the callers' API."""
