"""A model of the log service: order, lost answers, outages, retention."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class LogModel:
    """Records of one stream; ``first`` is the lowest offset that is kept."""

    retention_s: float
    records: list = field(default_factory=list)  # (data, time), by offset
    first: int = 0
    up: bool = True

    def append(self, data, time):
        self.records.append((data, time))
        return len(self.records) - 1

    def trim(self, time):
        while self.first < len(self.records):
            if self.records[self.first][1] >= time - self.retention_s:
                return
            self.first += 1
