"""Build dist/turmericknot as a single executable file and run a smoke test."""

import subprocess
import sys
from pathlib import Path

import PyInstaller.__main__

ROOT = Path(__file__).resolve().parent.parent
BINARY_PATH = ROOT / "dist" / "turmericknot"
EXAMPLE_SETTINGS = ROOT / "examples" / "entry.toml"
# Imported by name at run time, so PyInstaller does not detect them.
RUNTIME_IMPORTED_PACKAGES = (
    "turmericknot.management.commands",
    "turmericknot.entry",
    "turmericknot.agent",
)
# Used only by tests and developer tools.
EXCLUDED_MODULES = ("pytest", "hypothesis", "lark", "tkinter")


def build_binary():
    """Build the binary with PyInstaller."""
    arguments = [str(ROOT / "turmericknot" / "__main__.py")]
    arguments += ["--name", BINARY_PATH.name, "--onefile", "--noconfirm", "--clean"]
    arguments += ["--log-level", "WARN", "--paths", str(ROOT)]
    arguments += ["--distpath", str(BINARY_PATH.parent)]
    arguments += ["--workpath", str(ROOT / "build" / "binary")]
    arguments += ["--specpath", str(ROOT / "build" / "binary")]
    for package in RUNTIME_IMPORTED_PACKAGES:
        arguments += ["--collect-submodules", package]
    for module in EXCLUDED_MODULES:
        arguments += ["--exclude-module", module]
    PyInstaller.__main__.run(arguments)


def run_smoke_test():
    """Run commands of the binary with a working directory outside the sources."""
    for arguments in (["--help"], ["version"], ["check", str(EXAMPLE_SETTINGS)]):
        print(f"$ turmericknot {' '.join(arguments)}", flush=True)
        subprocess.run(
            [BINARY_PATH, *arguments], cwd=BINARY_PATH.parent, check=True, timeout=60
        )


if __name__ == "__main__":
    build_binary()
    run_smoke_test()
    print(f"{BINARY_PATH}: {BINARY_PATH.stat().st_size / 1e6:.1f} MB")
    sys.exit(0)
