"""balsamdeal: a service mesh that distributes its configuration and routes by it."""

__version__ = "0.4.0"
