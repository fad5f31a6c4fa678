"""Exceptions of the package; each carries the step that failed and its peer."""


class BalsamdealError(Exception):
    """Base of all errors of the package.

    :param message: what is wrong, and how to correct it.
    :param step: the step that failed, such as ``connect`` or ``render``.
    :param peer: the address, file or part concerned.
    """

    def __init__(self, message, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        return f"step={self.step} peer={self.peer}: {self.message}"


class SettingsError(BalsamdealError):
    """The settings are invalid; ``faults`` lists all reasons."""

    def __init__(self, faults):
        super().__init__("; ".join(faults), step="settings", peer="command line")
        self.faults = faults


class ContentError(BalsamdealError):
    """The content of a configuration, VM list or entry is invalid.

    It depends on the content alone, so all nodes reject the same content.
    """


class DocumentError(BalsamdealError):
    """A document or delta has another base or digest than was announced."""


class ExchangeError(BalsamdealError):
    """An HTTP exchange failed.

    ``written`` is whether any byte of the request may have reached the peer.
    """

    def __init__(self, message, step, peer, written):
        super().__init__(message, step, peer)
        self.written = written


class SourceError(BalsamdealError):
    """The configuration source or the VM list could not be read."""


class HistoryLostError(SourceError):
    """The source no longer has the changes since a revision.

    The reader has to read the whole content instead.
    """
