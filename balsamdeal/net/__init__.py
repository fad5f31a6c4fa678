"""The shell around the core: servers, clients and timers on one tornado loop."""
