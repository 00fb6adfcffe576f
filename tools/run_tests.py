"""Runs formatter, linters, type checker and behave, and prints a summary.

The last line is ``N passed, N failed``; failures of scenarios that
KNOWN-RED.txt lists are counted as skipped instead. The exit code is 0 only if
there are no other failures.
"""

from collections.abc import Iterator
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
FEATURE_TIMEOUT_S = 900
MAX_PARALLEL_FEATURES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Result of one check or scenario.

    :param name: Name of the check or scenario.
    :param passed: Whether it passed.
    :param output: Its output, printed if it failed.
    """

    name: str
    passed: bool
    output: str = ""


def run_check(name: str, command: list[str]) -> CheckResult:
    """Run a formatter, linter or type checker over the repository.

    :param name: Name of the check.
    :param command: Program and arguments.
    :returns: Passed if the exit code is 0.
    """
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    return CheckResult(
        name=name,
        passed=completed.returncode == 0,
        output=completed.stdout + completed.stderr,
    )


def run_feature(feature: pathlib.Path) -> list[CheckResult]:
    """Run one feature file.

    :param feature: Path of the file.
    :returns: A result for each scenario, and a failed one under the file's
        name if behave timed out or failed outside the scenarios.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [
            str(BIN / "behave"),
            "--no-color",
            "--format=json",
            f"--outfile={report}",
            "--format=progress3",
            str(feature.relative_to(ROOT)),
        ]
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
                timeout=FEATURE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return [
                CheckResult(
                    name=feature.name,
                    passed=False,
                    output=f"timed out after {FEATURE_TIMEOUT_S} s",
                )
            ]
        check_results = list(
            read_report(report, completed.stdout + completed.stderr)
        )
        all_passed = all(check_result.passed for check_result in check_results)
        if completed.returncode != 0 and all_passed:
            output = completed.stdout + completed.stderr
            check_results.append(
                CheckResult(name=feature.name, passed=False, output=output)
            )
        return check_results


def read_report(path: pathlib.Path, output: str) -> Iterator[CheckResult]:
    """Read the results from a behave report.

    :param path: Path of the JSON report; a missing or empty one has no
        results.
    :param output: Output of behave, attached to each failed scenario.
    :returns: A result for each scenario.
    """
    if not path.exists() or not path.read_text(encoding="utf-8").strip():
        return
    for feature in json.loads(path.read_text(encoding="utf-8")):
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            passed = element.get("status") == "passed"
            yield CheckResult(
                name=element["name"].strip(),
                passed=passed,
                output="" if passed else output,
            )


def read_known_failures() -> set[str]:
    """Read the names of the scenarios that KNOWN-RED.txt lists.

    :returns: Scenario names, with behave's example numbers.
    """
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    return {
        line.split("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    }


def list_checks() -> dict[str, list[str]]:
    """List the formatter, linter and type checker commands.

    :returns: Commands by name.
    """
    return {
        "formatter": [str(BIN / "ruff"), "format", "--check", "."],
        "linter": [str(BIN / "ruff"), "check", "."],
        "hacking": [
            str(BIN / "flake8"),
            "packages",
            "platform",
            "features",
            "tools",
        ],
        "types": [
            str(BIN / "mypy"),
            *(
                str(path.relative_to(ROOT))
                for pattern in ("packages/*/bluebell*", "platform/bluebell*")
                for path in sorted(ROOT.glob(pattern))
                if not path.name.endswith(".egg-info")
            ),
        ],
    }


def main(feature_paths: list[str]) -> int:
    """Run all checks and features, or only the given feature files.

    :param feature_paths: Paths of feature files; empty to run everything.
    :returns: Exit code: 1 if a failure is not listed in KNOWN-RED.txt.
    """
    started = time.monotonic()
    check_results: list[CheckResult] = []
    if not feature_paths:
        for name, command in list_checks().items():
            check_results.append(run_check(name, command))
    features = [
        pathlib.Path(item).resolve() for item in feature_paths
    ] or sorted(ROOT.glob("features/*.feature"))
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        for results in pool.map(run_feature, features):
            check_results.extend(results)
    known_failing_names = read_known_failures()
    failed = [item for item in check_results if not item.passed]
    known_failures = [
        item for item in failed if item.name in known_failing_names
    ]
    failed = [item for item in failed if item.name not in known_failing_names]
    for output in dict.fromkeys(item.output for item in failed):
        print(output)
    for item in check_results:
        if item.passed:
            print(f"ok      {item.name}")
    for item in known_failures:
        print(f"known   {item.name}")
    for item in failed:
        print(f"FAILED  {item.name}")
    print(f"took {time.monotonic() - started:.0f} s")
    passed = len(check_results) - len(failed) - len(known_failures)
    skipped_suffix = (
        f", {len(known_failures)} skipped" if known_failures else ""
    )
    print(f"{passed} passed, {len(failed)} failed{skipped_suffix}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
