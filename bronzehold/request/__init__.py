"""Handling of one request: classification, routing and execution."""
