"""Versions of one document on a node: the one in force and some before it."""

from dataclasses import dataclass, field

from balsamdeal.documents import NO_VERSION, apply_delta, compute_delta

HISTORY_LENGTH = 8
REJECTED_LENGTH = 8


@dataclass(slots=True)
class Versions:
    """The document in force, recent ones including it, and rejected versions.

    ``history`` holds documents, newest first. ``rejected`` maps each rejected version
    to the reason. ``applied_s`` is the loop's time, in seconds, at which the document
    came into force.
    """

    document: object = None
    applied_s: float = 0.0
    history: list = field(default_factory=list)
    rejected: dict = field(default_factory=dict)

    @property
    def version(self):
        """The version in force, or NO_VERSION."""
        return NO_VERSION if self.document is None else self.document.version

    def is_acceptable(self, version):
        """Return whether a version is newer than the one in force and not rejected."""
        return version > self.version and version not in self.rejected

    def find(self, version):
        """Return the document of a version from the history, or None."""
        for document in self.history:
            if document.version == version:
                return document
        return None

    def record_applied(self, document, now_s):
        """Record a document as in force from ``now_s``, and add it to the history."""
        self.document = document
        self.applied_s = now_s
        self.history = [document, *self.history][:HISTORY_LENGTH]

    def reject(self, version, reason):
        """Record a version as rejected; only the newest REJECTED_LENGTH are kept."""
        self.rejected[version] = reason
        while len(self.rejected) > REJECTED_LENGTH:
            del self.rejected[min(self.rejected)]

    def make_delta(self, base):
        """Return the delta from a version to the one in force, which must exist.

        :param base: the version. If the history lacks it, the delta holds the whole
            document.
        """
        return compute_delta(self.find(base), self.document)

    def merge(self, delta):
        """Return the document that a delta leads to.

        :raises DocumentError: if the history lacks its base or the digest differs.
        """
        return apply_delta(self.find(delta.base), delta)
