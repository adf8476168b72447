"""HTTP API for operators: application, program and client."""
