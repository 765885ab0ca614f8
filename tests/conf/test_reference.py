"""Compare the settings reference with the defaults and rules of the code."""

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


def read_documented_settings(title):
    """Return {setting: (default, allowed)} from one section of the page."""
    section = PAGE.read_text().split(f"## {title}\n", 1)[1].split("\n## ", 1)[0]
    rows = re.findall(r"^\| `(\w+)` \|[^|]*\| ([^|]*) \| ([^|]*) \|", section, re.M)
    return {name: (default, allowed) for name, default, allowed in rows}


def collect_settings(struct, prefix):
    """Return {setting: (default, allowed)} from the code."""
    settings = {}
    for setting in msgspec.structs.fields(struct):
        path = prefix + setting.name
        if path in rules.SETTING_RULES:
            default = "required"
            if not setting.required:
                default = f"`{json.dumps(setting.default)}`"
            settings[setting.name] = (default, rules.SETTING_RULES[path].allowed)
    return settings


@pytest.mark.parametrize("title", SECTIONS)
def test_page_lists_every_setting(title):
    """Guards against documentation with outdated names, defaults or bounds."""
    assert read_documented_settings(title) == collect_settings(*SECTIONS[title])
