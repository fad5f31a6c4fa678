"""I/O around the core: servers, clients and timers on one tornado event loop."""
