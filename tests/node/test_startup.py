import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Packages for the product's own deployments, the command line or the tests only.
UNUSED_PACKAGES = {
    "cheroot",
    "certifi",
    "fire",
    "hypothesis",
    "pykka",
    "pytest",
    "urllib3",
}


def loaded_modules(module):
    """Return the names of all modules that are loaded with a role's module."""
    script = f"import sys, turmericknot.node.__main__, {module}; print(*sys.modules)"
    paths = [path for path in sys.path if "site-packages" in path]
    result = subprocess.run(
        [sys.executable, "-S", "-c", script],
        cwd=ROOT,
        env={"PYTHONPATH": ":".join([str(ROOT), *paths])},
        capture_output=True,
        text=True,
        check=True,
    )
    return set(result.stdout.split())


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_role_loads_only_what_it_uses(role):
    """Each import delays the recovery of a site after the loss of all processes."""
    assert not loaded_modules(f"turmericknot.node.{role}") & UNUSED_PACKAGES


def test_roles_start_without_site_packages():
    """Packages installed on a VM must not slow the start or change the imports."""
    deployment = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deployment["roles"].values():
        assert role["run"].split()[1] == "-S"
