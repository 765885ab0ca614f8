import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Used by the product's own deployments, the command line or the tests.
UNUSED = {"cheroot", "certifi", "fire", "hypothesis", "pykka", "pytest", "urllib3"}


def modules_of(module):
    """Return the names of all modules that a role loads."""
    code = f"import sys, turmericknot.node.__main__, {module}; print(*sys.modules)"
    paths = [path for path in sys.path if "site-packages" in path]
    result = subprocess.run(
        [sys.executable, "-S", "-c", code],
        cwd=ROOT,
        env={"PYTHONPATH": ":".join([str(ROOT), *paths])},
        capture_output=True,
        text=True,
        check=True,
    )
    return set(result.stdout.split())


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_role_loads_only_what_it_uses(role):
    """Each import delays the recovery of a site that lost all processes."""
    assert not modules_of(f"turmericknot.node.{role}") & UNUSED


def test_roles_start_without_site_packages():
    """Packages of the VM must not slow the start, or change what is loaded."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        assert role["run"].split()[1] == "-S"
