"""Command line of ``azurefieldctl``."""

# The annotations are evaluated by defopt at run time, so this module does not postpone them.

import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Literal

import defopt
import msgspec
import uvloop

from azurefield.explanation import ExplainQuery
from azurefield_operator.checking import read_questionnaire
from azurefield_operator.commands import (
    accept_change,
    export_configuration,
    preview_change,
    show_audit,
    show_status,
)
from azurefield_operator.examples import ExampleName
from azurefield_operator.examples import example as build_example
from azurefield_operator.explaining import explain_request
from azurefield_operator.outcome import CommandFailure, CommandFailureKind, ExitCode, unreadable
from azurefield_operator.report import Output

PLATFORM_VARIABLE = "AZUREFIELD_PLATFORM"
ACCEPT_TIMEOUT_S = 15.0


def example(
    name: Literal["minimal", "gulf", "cerafiamma"], *, output: Path | None = None
) -> ExitCode:
    """Write an example questionnaire.

    :param name: the example to write
    :param output: the file to write; standard output if it is not given
    """
    text = msgspec.json.format(
        msgspec.json.encode(build_example(ExampleName(name))), indent=2
    ).decode()
    if output is None:
        sys.stdout.write(text + "\n")
        return ExitCode.DONE
    try:
        output.write_text(text + "\n")
    except OSError as error:
        return Output(json=False).write_failure(unreadable(f"{output}: {error.strerror}"))
    return ExitCode.DONE


def check(file: Path, *, json: bool = False) -> ExitCode:
    """Check a questionnaire and list all its faults.

    :param file: the questionnaire
    :param json: write JSON for scripts
    """
    out = Output(json=json)
    checked = read_questionnaire(file)
    if checked.is_err():
        return out.write_faults(checked.unwrap_err())
    count = len(checked.unwrap().services)
    return out.write_result({"services": count}, [f"{file}: no faults, {count} services"])


def preview(file: Path, *, platform: str | None = None, json: bool = False) -> ExitCode:
    """Show what a questionnaire would change in the configuration in force.

    :param file: the questionnaire
    :param platform: address of the platform, such as http://192.0.2.1:7000
    :param json: write JSON for scripts
    """
    out = Output(json=json)
    checked = read_questionnaire(file)
    if checked.is_err():
        return out.write_faults(checked.unwrap_err())
    return run_on_platform(out, platform, lambda url: preview_change(out, url, checked.unwrap()))


def accept(
    file: Path,
    *,
    operator: str,
    expect_version: int | None = None,
    timeout_s: float = ACCEPT_TIMEOUT_S,
    platform: str | None = None,
    json: bool = False,
) -> ExitCode:
    """Check a questionnaire and accept the configuration that is generated from it.

    :param file: the questionnaire
    :param operator: name of the operator for the audit trail
    :param expect_version: refuse the change unless this version is in force; 0 for no version
    :param timeout_s: seconds after which failed calls to the store are no longer repeated
    :param platform: address of the platform, such as http://192.0.2.1:7000
    :param json: write JSON for scripts
    """
    out = Output(json=json)
    checked = read_questionnaire(file)
    if checked.is_err():
        return out.write_faults(checked.unwrap_err())
    return run_on_platform(
        out,
        platform,
        lambda url: accept_change(
            out,
            url,
            checked.unwrap(),
            operator=operator,
            expected_version=expect_version,
            timeout_s=timeout_s,
        ),
    )


def status(*, platform: str | None = None, json: bool = False) -> ExitCode:
    """Show the version in force on each entry instance.

    :param platform: address of the platform, such as http://192.0.2.1:7000
    :param json: write JSON for scripts
    """
    out = Output(json=json)
    return run_on_platform(out, platform, lambda url: show_status(out, url))


def audit(*, limit: int = 20, platform: str | None = None, json: bool = False) -> ExitCode:
    """List the accepted changes, newest first.

    :param limit: how many changes to list at most
    :param platform: address of the platform, such as http://192.0.2.1:7000
    :param json: write JSON for scripts
    """
    out = Output(json=json)
    return run_on_platform(out, platform, lambda url: show_audit(out, url, limit))


def export(*, platform: str | None = None) -> ExitCode:
    """Write the configuration in force as JSON.

    :param platform: address of the platform, such as http://192.0.2.1:7000
    """
    out = Output(json=True)
    return run_on_platform(out, platform, lambda url: export_configuration(out, url))


def explain(
    admin: str,
    host: str,
    path: str,
    *,
    method: str = "GET",
    workspace: str | None = None,
    body_bytes: int = 0,
    digest: str | None = None,
    json: bool = False,
) -> ExitCode:
    """Show where a request would go now and why, without sending it.

    :param admin: host:port of the admin listener of the gateway that would get the request
    :param host: the host that the request names
    :param path: path and query of the request
    :param method: method of the request
    :param workspace: name of its workspace, never a key; none for a request without a key
    :param body_bytes: size of its body
    :param digest: digest of its content, from the log; needed to find a crashing request with body
    :param json: write JSON for scripts
    """
    out = Output(json=json)
    parameters = {"host": host, "path": path, "method": method, "body_bytes": str(body_bytes)}
    optional = {"workspace": workspace, "digest": digest}
    parameters |= {name: value for name, value in optional.items() if value is not None}
    query = ExplainQuery.parse(parameters)
    if query.is_err():
        detail = query.unwrap_err()
        return out.write_failure(CommandFailure(kind=CommandFailureKind.USAGE, detail=detail))
    return uvloop.run(explain_request(out, admin, query.unwrap()))


def run_on_platform(
    out: Output, platform: str | None, command: Callable[[str], Awaitable[ExitCode]]
) -> ExitCode:
    """Run a command with the platform that an option or the environment names."""
    url = platform or os.environ.get(PLATFORM_VARIABLE, "")
    if not url.startswith(("http://", "https://")):
        detail = f"give the platform's http address with --platform or {PLATFORM_VARIABLE}"
        return out.write_failure(CommandFailure(kind=CommandFailureKind.USAGE, detail=detail))

    async def run() -> ExitCode:
        return await command(url.rstrip("/"))

    return uvloop.run(run())


def main() -> None:
    """Run the command line."""
    commands = [example, check, preview, accept, status, audit, export, explain]
    try:
        code = defopt.run(commands, no_negated_flags=True)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, for instance ``head``, has closed the pipe. The interpreter flushes standard
        # output again at exit, which must not fail a second time.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.FAILED
    except KeyboardInterrupt:
        sys.stderr.write(
            "azurefieldctl: interrupted: a change may have been accepted, see"
            " 'azurefieldctl audit'\n"
        )
        code = ExitCode.OUTCOME_UNKNOWN
    sys.exit(code)
