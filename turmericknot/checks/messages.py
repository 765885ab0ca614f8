"""Messages of the system checks."""

from dataclasses import dataclass


class Level:
    """Severity of a message; an error prevents the process from starting."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(slots=True, frozen=True)
class CheckMessage:
    """A finding of a check; scripts and documentation refer to it by its stable id."""

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
    """Return a message that prevents the process from starting."""
    return CheckMessage(Level.ERROR, id, text, hint, subject)


def create_warning(id, text, hint="", subject=""):
    """Return a message that does not prevent the process from starting."""
    return CheckMessage(Level.WARNING, id, text, hint, subject)
