"""Adapter to the users' platform: header names, message formats and store calls."""
