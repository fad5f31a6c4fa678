"""Tools of the repository: demo, measurements, tests."""
