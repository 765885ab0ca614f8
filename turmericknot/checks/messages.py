"""Messages of the system checks."""

from dataclasses import dataclass


class Level:
    """Weight of a message; errors keep a process from starting."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(slots=True, frozen=True)
class CheckMessage:
    """One finding with a stable id, so that scripts and pages can refer to it."""

    level: str
    id: str
    text: str
    hint: str = ""
    subject: str = ""  # settings file or address that the finding is about

    def __str__(self):
        place = f"{self.subject}: " if self.subject else ""
        text = f"{place}({self.id}) {self.text}"
        return f"{text}\n\tHINT: {self.hint}" if self.hint else text


def create_error(id, text, hint="", subject=""):
    """Return a message that keeps a process from starting."""
    return CheckMessage(Level.ERROR, id, text, hint, subject)


def create_warning(id, text, hint="", subject=""):
    """Return a message that does not keep a process from starting."""
    return CheckMessage(Level.WARNING, id, text, hint, subject)
