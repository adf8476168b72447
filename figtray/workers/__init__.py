"""Client interface to the workers that run tasks."""
