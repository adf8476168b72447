"""Owners of keyed and ordered requests, and records of their keys."""
