"""Errors of the library: one base class that knows its exit code."""

from __future__ import annotations


class FulmarroadError(Exception):
    """Report a failure in the user's words, with what to do next."""

    exit_code = 1

    def __init__(self, message: str, *, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def show(self) -> str:
        """Return the text for a terminal or a log line."""
        if self.hint:
            return f"{self.message}\n  {self.hint}"
        return self.message

    def __str__(self) -> str:
        return self.message


class MessageError(FulmarroadError):
    """Reject bytes from another router that are no message of ours."""


class TransportError(FulmarroadError):
    """Report that a peer could not be reached or broke off."""


class ConfigurationError(FulmarroadError):
    """Reject tables or settings; `problems` lists every fault found."""

    exit_code = 2

    def __init__(
        self, message: str, *, problems: tuple[str, ...] = (), hint: str = ""
    ) -> None:
        super().__init__(message, hint=hint)
        self.problems = problems

    def show(self) -> str:
        """Return the message with one line for each problem."""
        lines = [self.message, *(f"  - {problem}" for problem in self.problems)]
        if self.hint:
            lines.append(f"  {self.hint}")
        return "\n".join(lines)


class ConfigurationServiceError(FulmarroadError):
    """Report that the configuration service gave no usable answer."""


class SupervisionError(FulmarroadError):
    """Report that a task failed more often than its supervisor allows."""
