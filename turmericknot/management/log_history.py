"""Job histories, reconstructed from the logs of any number of processes."""

import re
from dataclasses import dataclass
from pathlib import Path

_KEY_VALUE_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIMESTAMP_KEY = "timestamp"
# Log collectors may prepend a number and the name of the process to a line.
_COLLECTOR_PREFIX_PATTERN = re.compile(r"^\s*-?[\d.]+\s+(\S+)\s+")
_JOB_END_EVENTS = {
    "job.finished",
    "job.refused",
    "job.overdue",
    "job.unsupported",
    "client.left",
}


@dataclass(slots=True)
class LogLine:
    """One logged event; ``timestamp`` is text whose lexical order is the time order."""

    timestamp: str
    process: str
    event: str
    fields: dict


def read_log_lines(paths):
    """Yield the LogLines of files; lines that are no events are skipped."""
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                line = parse_log_line(text, Path(path).stem)
                if line is not None:
                    yield line


def parse_log_line(text, process):
    """Return the LogLine in a line of text, or None when it is no event.

    ``process`` names the process when no collector has put its name before the line.
    """
    start = text.find(_TIMESTAMP_KEY + "=")
    if start < 0:
        return None
    prefix = _COLLECTOR_PREFIX_PATTERN.match(text[:start])
    fields = {
        key: value.strip('"') for key, value in _KEY_VALUE_PATTERN.findall(text[start:])
    }
    event = fields.pop("event", "")
    if not event:
        return None
    timestamp = fields.pop(_TIMESTAMP_KEY)
    fields.pop("level", None)
    return LogLine(timestamp, prefix.group(1) if prefix else process, event, fields)


def job_history(job, lines):
    """Return the lines about a job, sorted by time.

    The clocks of VMs differ slightly, so an effect may be listed before its cause.
    """
    job_lines = [line for line in lines if line.fields.get("job") == job]
    return sorted(job_lines, key=lambda line: line.timestamp)


def count_job_outcomes(lines):
    """Return rows of (outcome, reason, process, jobs) over all lines."""
    counts = {}
    for line in lines:
        if line.event not in _JOB_END_EVENTS:
            continue
        fields = line.fields
        outcome = fields.get("state") or line.event
        key = (outcome, fields.get("reason", ""), line.process)
        counts[key] = counts.get(key, 0) + 1
    return [(*key, count) for key, count in sorted(counts.items())]


def count_left_out_lines(lines):
    """Return the number of lines that the log rate limit dropped, by event."""
    counts = {}
    for line in lines:
        left_out_lines = line.fields.get("left_out", "")
        if left_out_lines.isdigit():
            counts[line.event] = counts.get(line.event, 0) + int(left_out_lines)
    return counts
