"""Decision logic: events in, effects out; uses no socket, clock or event loop."""
