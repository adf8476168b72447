"""Queued requests of one entry, their order and bounds."""
