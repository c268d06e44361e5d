from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from azurefield.configuration import ConfigHead, encode
from azurefield_operator.commands import (
    accept_change,
    export_configuration,
    preview_change,
    show_audit,
    show_status,
)
from azurefield_operator.examples import ExampleName, example
from azurefield_operator.main import main
from azurefield_operator.outcome import ExitCode
from azurefield_operator.report import Output
from azurefield_testkit.platform import Platform
from azurefield_testkit.stand_in import Listener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

OUTPUT = Output(json=True)


@asynccontextmanager
async def platform(versions: tuple[int | None, ...] = ()) -> AsyncIterator[tuple[Platform, str]]:
    """Run the stand-in platform and an admin listener per version; for None it has no status."""
    stand_in = Platform()
    address = await stand_in.start()
    listeners: list[Listener] = []
    for number, version in enumerate(versions):
        app = web.Application()
        if version is not None:
            app.router.add_get("/v1/status", status_handler(version))
        listeners.append(Listener(app=app))
        entry = {
            "role": "entry",
            "address": "127.0.0.1:1",
            "admin_address": await listeners[-1].start(),
            "availability_zone": "zone-a",
            "state": "live",
        }
        stand_in.instances.change(0.0, f"entry-{number}", entry)
    yield stand_in, f"http://{address}"
    for listener in listeners:
        await listener.stop()
    await stand_in.stop()


def status_handler(version: int) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handler(_: web.Request) -> web.Response:
        configuration = {"version": version or None, "digest": "d"}
        return web.json_response({"state": "live", "configuration": configuration})

    return handler


async def accept(
    url: str, name: ExampleName = ExampleName.MINIMAL, expected: int | None = None
) -> ExitCode:
    return await accept_change(
        OUTPUT, url, example(name), operator="ana", expected_version=expected, timeout_s=0.5
    )


async def test_an_accepted_change_is_exported_audited_and_previewed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against commands that disagree on what was accepted."""
    async with platform() as (_, url):
        codes = [
            await accept(url),
            await accept(url, ExampleName.GULF, expected=1),
            await export_configuration(OUTPUT, url),
            await show_audit(OUTPUT, url, 10),
            await preview_change(OUTPUT, url, example(ExampleName.GULF)),
        ]
    assert codes == [ExitCode.DONE] * 5
    first, second, exported, audit, preview = map(json.loads, capsys.readouterr().out.splitlines())
    assert (first["version"], second["version"], exported["version"]) == (1, 2, 2)
    assert len(exported["services"]) == 27
    changes = [(change["version"], change["change_id"]) for change in audit["changes"]]
    assert changes == [(2, second["change_id"]), (1, first["change_id"])]
    assert preview == {"version": 2, "differences": []}


@pytest.mark.parametrize(
    ("fault", "expected", "code", "kind"),
    [
        ({}, 7, ExitCode.CONFLICT, "conflict"),
        ({"refuse": True}, None, ExitCode.UNAVAILABLE, "unavailable"),
        ({"down": True}, None, ExitCode.UNAVAILABLE, "unavailable"),
        ({"instances_down": True}, None, ExitCode.UNAVAILABLE, "unavailable"),
    ],
    ids=["other-version", "refusing", "down", "no-instance-list"],
)
async def test_a_change_that_is_not_accepted_ends_with_its_own_exit_code(
    fault: dict[str, bool],
    expected: int | None,
    code: ExitCode,
    kind: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a change that is written in spite of a failure, and a wrong exit code."""
    async with platform() as (stand_in, url):
        await accept(url)
        for name, value in fault.items():
            setattr(stand_in, name, value)
        assert await accept(url, ExampleName.GULF, expected) is code
        assert sum("changes/" in key for key in stand_in.store.values) == 1
    output = capsys.readouterr()
    assert json.loads(output.out.splitlines()[-1])["failure"]["kind"] == kind
    assert output.err.count("\n") == 1


async def test_a_change_whose_replies_are_all_lost_is_still_reported_as_accepted() -> None:
    """Guards against an accepted change that is reported as failed or written a second time."""
    async with platform() as (stand_in, url):
        stand_in.lose_replies = 3
        assert await accept(url) is ExitCode.DONE
        assert stand_in.lose_replies == 0
        assert stand_in.counts.writes == 5


@pytest.mark.parametrize(
    ("versions", "code"),
    [
        ((1, 1), ExitCode.DONE),
        ((0,), ExitCode.DONE),
        ((1, None), ExitCode.DONE),
        ((1, 2), ExitCode.STORE_BEHIND),
        ((None, None), ExitCode.UNAVAILABLE),
    ],
    ids=["same", "starting", "one-silent", "one-ahead", "all-silent"],
)
async def test_a_change_is_refused_while_the_store_may_be_older_than_an_instance(
    versions: tuple[int | None, ...], code: ExitCode
) -> None:
    """Guards against a change on top of an outdated store, which would undo a newer version."""
    async with platform(versions) as (stand_in, url):
        stand_in.store.put(
            "azurefield/config/head", encode(ConfigHead(version=1, digest="d", change_id="c"))
        )
        assert await accept(url) is code


@pytest.mark.parametrize(
    ("versions", "code"),
    [((3, 3), ExitCode.DONE), ((3, 2), ExitCode.DISAGREEMENT), ((3, None), ExitCode.DISAGREEMENT)],
    ids=["agree", "differ", "silent"],
)
async def test_status_reports_whether_all_instances_agree(
    versions: tuple[int | None, ...], code: ExitCode, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against agreement that is reported although instances differ or don't answer."""
    async with platform(versions) as (_, url):
        assert await show_status(OUTPUT, url) is code
    assert json.loads(capsys.readouterr().out)["agree"] is (code is ExitCode.DONE)


@pytest.mark.parametrize(
    ("arguments", "code", "problem"),
    [
        (["status"], ExitCode.FAULTS, "azurefieldctl: usage: give the platform's http address"),
        (["check", "absent.json"], ExitCode.FAULTS, "absent.json: found No such file"),
        (
            ["export", "--platform", "http://127.0.0.1:9"],
            ExitCode.UNAVAILABLE,
            "azurefieldctl: unavailable: the store can't be read (no connection to 127.0.0.1:9)",
        ),
    ],
    ids=["no-platform", "no-file", "no-connection"],
)
def test_a_wrong_call_ends_with_one_clear_line(
    arguments: list[str],
    code: ExitCode,
    problem: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a traceback or a usage text in place of the reason."""
    monkeypatch.setattr("sys.argv", ["azurefieldctl", *arguments])
    monkeypatch.delenv("AZUREFIELD_PLATFORM", raising=False)
    with pytest.raises(SystemExit) as ended:
        main()
    assert ended.value.code == code
    error = capsys.readouterr().err
    assert error.startswith(problem)
    assert error.count("\n") == 1
