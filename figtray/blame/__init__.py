"""Blame for crashes of workers: of a task, or of the host, by evidence."""
