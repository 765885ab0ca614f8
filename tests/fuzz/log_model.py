"""A model of the log service, with outages and a retention time."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class LogModel:
    """The records of one stream; records before ``first_offset`` are trimmed."""

    retention_s: float
    records: list = field(default_factory=list)  # (data, time), by offset
    first_offset: int = 0
    is_up: bool = True

    def append(self, data, time):
        self.records.append((data, time))
        return len(self.records) - 1

    def trim(self, time):
        while self.first_offset < len(self.records):
            if self.records[self.first_offset][1] >= time - self.retention_s:
                return
            self.first_offset += 1
