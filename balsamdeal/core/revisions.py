"""Order of what the source publishes, across its returns from older copies."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Revision:
    """A position in the history of the source.

    ``era`` counts how often the source has come back from an older copy of itself. It
    gives out again the numbers after that copy, so they order changes only within an
    era. A source that names no era has era 0.
    """

    era: int
    number: int


NO_REVISION = Revision(0, 0)
