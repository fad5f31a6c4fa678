"""Stand-ins for the platform, targets and callers, for tests. Not in the package."""
