"""Histories of jobs, read from the logs of any number of processes."""

import re
from dataclasses import dataclass
from pathlib import Path

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIMESTAMP = "timestamp"
# What a collector of logs may put before a line: a number and the process.
_PREFIX = re.compile(r"^\s*-?[\d.]+\s+(\S+)\s+")
_ENDS = {"job.finished", "job.refused", "job.overdue", "job.unsupported", "client.left"}


@dataclass(slots=True)
class LogLine:
    """One event of a log; ``timestamp`` is text that sorts by time."""

    timestamp: str
    process: str
    event: str
    fields: dict


def read_lines(paths):
    """Yield the LogLines of files; lines of other forms are passed over."""
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                line = parse_line(text, Path(path).stem)
                if line is not None:
                    yield line


def parse_line(text, process):
    """Return the LogLine in a text, or None when it is no event."""
    start = text.find(_TIMESTAMP + "=")
    if start < 0:
        return None
    prefix = _PREFIX.match(text[:start])
    fields = {key: value.strip('"') for key, value in _PAIR.findall(text[start:])}
    event = fields.pop("event", "")
    if not event:
        return None
    timestamp = fields.pop(_TIMESTAMP)
    fields.pop("level", None)
    return LogLine(timestamp, prefix.group(1) if prefix else process, event, fields)


def history_of(job, lines):
    """Return the lines about a job in the order of time.

    The clocks of VMs differ a little, so a line may stand before its cause.
    """
    found = [line for line in lines if line.fields.get("job") == job]
    return sorted(found, key=lambda line: line.timestamp)


def count_outcomes(lines):
    """Return rows of (outcome, reason, process, jobs) over all lines."""
    counts = {}
    for line in lines:
        if line.event not in _ENDS:
            continue
        fields = line.fields
        outcome = fields.get("state") or line.event
        key = (outcome, fields.get("reason", ""), line.process)
        counts[key] = counts.get(key, 0) + 1
    return [(*key, count) for key, count in sorted(counts.items())]


def left_out(lines):
    """Return event -> how many lines the processes left out."""
    counts = {}
    for line in lines:
        number = line.fields.get("left_out", "")
        if number.isdigit():
            counts[line.event] = counts.get(line.event, 0) + int(number)
    return counts
