"""Decisions of a node: events in, effects out; no socket, clock or event loop."""
