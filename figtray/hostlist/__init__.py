"""Client interface to the platform's list of live and leaving hosts."""
