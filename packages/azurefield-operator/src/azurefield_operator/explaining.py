"""Asks an instance where a request would go now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec
from result import Err, Ok, Result

from azurefield.explanation import EXPLAIN_PATH, ExplainQuery, Explanation
from azurefield_operator.explanation_text import explanation_lines
from azurefield_operator.outcome import (
    CommandFailure,
    CommandFailureKind,
    ExitCode,
    unavailable,
    unreadable,
)
from azurefield_platform.http import open_session

if TYPE_CHECKING:
    from azurefield_operator.report import Output

EXPLAIN_TIMEOUT_S = 5.0
REPLY_BYTES_MAX = 1_000_000


async def explain_request(out: Output, address: str, query: ExplainQuery) -> ExitCode:
    """Write where a request would go.

    :param address: ``host:port`` of the instance's admin listener
    :return: ``DONE`` if it would run, ``REFUSED`` if it would be refused
    """
    async with open_session() as session:
        asked = await ask(session, address, query)
    match asked:
        case Err(failure):
            return out.write_failure(failure)
        case Ok(explanation):
            code = ExitCode.DONE if explanation.refusal is None else ExitCode.REFUSED
            return out.write_result(explanation, explanation_lines(explanation), code)


async def ask(
    session: aiohttp.ClientSession, address: str, query: ExplainQuery
) -> Result[Explanation, CommandFailure]:
    """Ask one instance."""
    url = f"http://{address}{EXPLAIN_PATH}"
    parameters = {
        name: str(value) for name, value in msgspec.to_builtins(query).items() if value is not None
    }
    timeout = aiohttp.ClientTimeout(total=EXPLAIN_TIMEOUT_S)
    try:
        async with session.get(
            url, params=parameters, timeout=timeout, allow_redirects=False
        ) as response:
            return await read_reply(address, response)
    except aiohttp.InvalidURL:
        detail = "give the admin address of an instance as host:port"
        return Err(CommandFailure(kind=CommandFailureKind.USAGE, detail=detail))
    except aiohttp.ClientResponseError as error:
        # Its text would repeat all parameters.
        return Err(unreadable(f"{address} does not reply in HTTP ({error.message})"))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        detail = str(error) or f"nothing within {EXPLAIN_TIMEOUT_S:.0f} s"
        return Err(unavailable(f"{address} does not answer ({detail})"))


async def read_reply(
    address: str, response: aiohttp.ClientResponse
) -> Result[Explanation, CommandFailure]:
    """Read the reply of an instance, up to ``REPLY_BYTES_MAX``."""
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > REPLY_BYTES_MAX:
            return Err(unreadable(f"{address} replies with more than {REPLY_BYTES_MAX} bytes"))
    match response.status:
        case 200:
            return decode(address, bytes(body))
        case 400:
            detail = body.decode(errors="replace").strip()
            return Err(CommandFailure(kind=CommandFailureKind.USAGE, detail=detail))
        case 404:
            detail = f"{address} explains no requests: it is no gateway, or an older version"
            return Err(unreadable(detail))
        case status:
            return Err(unreadable(f"{address} replies with HTTP status {status}"))


def decode(address: str, body: bytes) -> Result[Explanation, CommandFailure]:
    """Decode an explanation."""
    try:
        return Ok(msgspec.json.decode(body, type=Explanation))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(unreadable(f"{address} sends a malformed explanation ({error})"))
