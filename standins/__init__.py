"""Small stand-ins for the outside: platform, targets, callers. Not in the package."""
