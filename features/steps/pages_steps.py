"""Steps for the documentation pages that are generated from the code."""

import pathlib
import subprocess
import sys

import behave

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


@behave.then("docs/{page} matches the output of tools/{tool}")
def check_page(context, page, tool):
    del context
    completed = subprocess.run(
        [sys.executable, str(ROOT / "tools" / tool)],
        capture_output=True,
        text=True,
        check=True,
    )
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    assert completed.stdout == text, (
        f"docs/{page} is out of date; regenerate it with tools/{tool}"
    )
