"""balsamdeal distributes configuration through a service mesh and routes by it."""

__version__ = "0.4.0"
