"""Tests that the documentation matches the code and that its links are valid."""

import re
from pathlib import Path

import pytest

from turmericknot.dispatch.tasks import Reason
from turmericknot.management import exit_codes, registry

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"
PAGES = sorted([ROOT / "README.md", ROOT / "DEVELOPERS.md", *DOCS.rglob("*.md")])


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_to_pages(page):
    """Guards against links to pages that were moved or do not exist."""
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    missing = [link for link in links if not (page.parent / link).exists()]
    assert missing == []


def test_every_command_and_exit_code_is_on_the_page():
    page = (DOCS / "reference" / "cli.md").read_text()
    for path in registry.load_commands():
        assert f"`{' '.join(path)}" in page
    for code in exit_codes.MEANINGS:
        assert f"| {code} |" in page


def test_every_check_is_on_the_page():
    """Guards against a check that an operator cannot look up."""
    sources = (ROOT / "turmericknot" / "checks").glob("*.py")
    text = "".join(source.read_text() for source in sources)
    page = (DOCS / "reference" / "cli.md").read_text()
    ids = set(re.findall(r'"(tk\.[EW]\d{3})"', text))
    assert ids == set(re.findall(r"^\| (tk\.[EW]\d{3}) \|", page, re.M))


def test_every_reason_is_on_the_page():
    page = (DOCS / "reference" / "http-api.md").read_text()
    missing = [reason for reason in Reason if reason and f"| `{reason}` |" not in page]
    assert missing == []


def test_every_failure_of_the_design_has_a_page():
    """Guards against a failure without instructions for operators."""
    design = (DOCS / "design.md").read_text()
    table = design.split("## 11.", 1)[1].split("## 12.", 1)[0]
    failures = re.findall(r"^\| ([^|]+) \| [^|]+ \|$", table, re.M)[2:]
    index = (DOCS / "operations" / "README.md").read_text()
    missing = [failure for failure in failures if f"| {failure} |" not in index]
    assert failures and missing == []


def test_every_log_event_is_on_the_page():
    """Guards against a log event that an on-call engineer cannot look up."""
    events = set()
    for package in ("node", "platform", "scheduling", "aio", "wire"):
        for source in (ROOT / "turmericknot" / package).glob("*.py"):
            events |= set(re.findall(r'"([a-z]+\.[a-z_]+)"', source.read_text()))
    # Names with this prefix are topics of the store.
    events = {event for event in events if not event.startswith("keyed.")}
    page = (DOCS / "reference" / "events.md").read_text()
    assert events == set(re.findall(r"^\| `([a-z_.]+)` \|", page, re.M))
