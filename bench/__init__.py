"""Starts the system as separate processes, and measures it."""
