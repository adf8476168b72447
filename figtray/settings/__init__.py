"""Typed settings of the programs, read from JSON with comments."""
