"""Operators' configuration: resources, history, replicas and writer."""
