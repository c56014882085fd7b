"""Exceptions of the library; the base class defines the exit code of commands."""

from __future__ import annotations


class FulmarroadError(Exception):
    """Report a failure to the user, with a hint on what to do next."""

    exit_code = 1

    def __init__(self, message: str, *, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def format_message(self) -> str:
        """Return the message and the hint as text for a terminal or a log."""
        if self.hint:
            return f"{self.message}\n  {self.hint}"
        return self.message

    def __str__(self) -> str:
        return self.message


class MessageError(FulmarroadError):
    """Report bytes from another router that are not a valid message."""


class TransportError(FulmarroadError):
    """Report that a peer could not be reached or closed the connection."""


class ConfigurationError(FulmarroadError):
    """Report invalid tables or settings; `problems` lists every problem found."""

    exit_code = 2

    def __init__(
        self, message: str, *, problems: tuple[str, ...] = (), hint: str = ""
    ) -> None:
        super().__init__(message, hint=hint)
        self.problems = problems

    def format_message(self) -> str:
        """Return the message, one line per problem, and the hint."""
        lines = [self.message, *(f"  - {problem}" for problem in self.problems)]
        if self.hint:
            lines.append(f"  {self.hint}")
        return "\n".join(lines)


class ConfigurationServiceError(FulmarroadError):
    """Report that the configuration service returned no usable answer."""


class SupervisionError(FulmarroadError):
    """Report that a task failed more often than its supervisor allows."""
