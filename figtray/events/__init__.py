"""Numbered log events and their output as one JSON line each."""
