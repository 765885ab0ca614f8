"""Build dist/turmericknot as one file and try it out."""

import subprocess
import sys
from pathlib import Path

import PyInstaller.__main__

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "turmericknot"
EXAMPLE = ROOT / "examples" / "entry.toml"
# Imported by name at run time, so that PyInstaller cannot see them.
LAZY_PACKAGES = (
    "turmericknot.management.commands",
    "turmericknot.entry",
    "turmericknot.agent",
)
# Part of tests and tools only.
EXCLUDED = ("pytest", "hypothesis", "lark", "tkinter")


def build():
    """Build the binary with PyInstaller."""
    arguments = [str(ROOT / "turmericknot" / "__main__.py")]
    arguments += ["--name", BINARY.name, "--onefile", "--noconfirm", "--clean"]
    arguments += ["--log-level", "WARN", "--paths", str(ROOT)]
    arguments += ["--distpath", str(BINARY.parent)]
    arguments += ["--workpath", str(ROOT / "build" / "binary")]
    arguments += ["--specpath", str(ROOT / "build" / "binary")]
    for package in LAZY_PACKAGES:
        arguments += ["--collect-submodules", package]
    for module in EXCLUDED:
        arguments += ["--exclude-module", module]
    PyInstaller.__main__.run(arguments)


def try_out():
    """Run commands of the binary outside of the source tree."""
    for arguments in (["--help"], ["version"], ["check", str(EXAMPLE)]):
        print(f"$ turmericknot {' '.join(arguments)}", flush=True)
        subprocess.run([BINARY, *arguments], cwd=BINARY.parent, check=True, timeout=60)


if __name__ == "__main__":
    build()
    try_out()
    print(f"{BINARY}: {BINARY.stat().st_size / 1e6:.1f} MB")
    sys.exit(0)
