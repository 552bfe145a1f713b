"""Installs the daemon's dependencies, as pyproject.toml lists them, into a folder."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


def main() -> int:
    """Install unless the folder is newer than the list."""
    folder, listed = ROOT / sys.argv[1], ROOT / "pyproject.toml"
    if folder.exists() and folder.stat().st_mtime > listed.stat().st_mtime:
        return 0
    project = tomllib.loads(listed.read_text("utf-8"))["project"]
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    command += ["--disable-pip-version-check", "--target", str(folder)]
    code = subprocess.call([*command, *project["dependencies"]])
    if code == 0:
        folder.touch()
    return code


if __name__ == "__main__":
    sys.exit(main())
