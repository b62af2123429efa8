"""Records of the problems in an input, and the error that carries them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One problem in an input.

    Attributes:
        source: Name of the file or document.
        location: Key, or line and column.
        message: Description of the problem.
    """

    source: str
    location: str
    message: str

    def __str__(self) -> str:
        return f"{self.source}: {self.location}: {self.message}"


class ProblemsError(Exception):
    """An input was refused; the error holds all of its problems."""

    def __init__(self, problems: tuple[Problem, ...]):
        super().__init__("; ".join(str(p) for p in problems))
        self.problems = problems
