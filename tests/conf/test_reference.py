"""The page of settings must say what the code does."""

import json
import re
from pathlib import Path

import msgspec
import pytest

from turmericknot.conf import rules, schema

PAGE = Path(__file__).parents[2] / "docs" / "reference" / "settings.md"
SECTIONS = {
    "Entry": (schema.EntrySettings, ""),
    "Agent": (schema.AgentSettings, ""),
    "[claims]": (schema.ClaimSettings, "claims."),
    "[membership]": (schema.MembershipSettings, "membership."),
    "[policy]": (schema.PolicySettings, "policy."),
}


def documented(title):
    """Return {setting: (default, allowed)} of one section of the page."""
    section = PAGE.read_text().split(f"## {title}\n", 1)[1].split("\n## ", 1)[0]
    rows = re.findall(r"^\| `(\w+)` \|[^|]*\| ([^|]*) \| ([^|]*) \|", section, re.M)
    return {name: (default, allowed) for name, default, allowed in rows}


def actual(struct, prefix):
    """Return the same from the code."""
    found = {}
    for setting in msgspec.structs.fields(struct):
        path = prefix + setting.name
        if path in rules.RULES:
            default = "required"
            if not setting.required:
                default = f"`{json.dumps(setting.default)}`"
            found[setting.name] = (default, rules.RULES[path].allowed)
    return found


@pytest.mark.parametrize("title", SECTIONS)
def test_page_lists_every_setting(title):
    """Guards against a page that states old names, defaults or bounds."""
    assert documented(title) == actual(*SECTIONS[title])
