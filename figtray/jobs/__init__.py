"""Jobs that callers submit, their stored records and their queues."""
