"""Scheduling: which task runs where, decided by the leader."""
