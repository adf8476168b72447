"""Starts queued requests on workers and follows their attempts."""
