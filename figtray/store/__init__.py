"""Client interface to the platform's key-value service."""
