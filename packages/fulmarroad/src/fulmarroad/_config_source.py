"""Reading the configuration service and the VM list over HTTP."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import httpcore
from attrs import frozen

from fulmarroad._manifest import MAX_PART_BYTES
from fulmarroad.exceptions import ConfigurationServiceError

CONNECT_TIMEOUT_S = 1.0
"""Timeout of connecting in seconds.

The service normally answers in milliseconds, so a second without a connection counts
as a failure."""

ANSWER_TIMEOUT_S = 5.0
"""Timeout of an answer in seconds, added to the requested wait.

Tolerates a service that is a thousand times slower than usual, and ends a long poll
whose service hangs."""

_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304


@frozen
class SourceReply:
    """Hold a value and its entity tag; `body` is `None` if it has not changed."""

    etag: str
    body: bytes | None


class ConfigurationSource(Protocol):
    """Read the values that operators and the platform publish.

    Each method raises `ConfigurationServiceError` if it gets no usable answer.
    """

    async def manifest(self, etag: str, wait_s: float) -> SourceReply:
        """Return the manifest; wait up to `wait_s` seconds for a change from `etag`."""

    async def part(self, sha256: str) -> bytes:
        """Return the content of the part with the given SHA-256."""

    async def vm_list(self, etag: str, wait_s: float) -> SourceReply:
        """Return the VM list; wait up to `wait_s` seconds for a change from `etag`."""


class HttpConfigurationSource:
    """Read over HTTP, using entity tags and long polls (RFC 7240, `Prefer: wait`).

    `configuration` and `vm_list` are base URLs; below them are `/manifest`,
    `/parts/SHA256` and `/vms`.
    """

    def __init__(
        self,
        configuration: str,
        vm_list: str = "",
        *,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._configuration = configuration.rstrip("/")
        self._vm_list = vm_list.rstrip("/") or self._configuration
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4,
            keepalive_expiry=60.0,
            network_backend=backend or httpcore.AnyIOBackend(),
        )

    async def manifest(self, etag: str, wait_s: float) -> SourceReply:
        """Return the manifest; wait up to `wait_s` seconds for a change from `etag`."""
        return await self._conditional_get(
            f"{self._configuration}/manifest", etag, wait_s
        )

    async def part(self, sha256: str) -> bytes:
        """Return the content of the part with the given SHA-256."""
        reply = await self._get(f"{self._configuration}/parts/{sha256}", {}, 0.0)
        if reply.body is None:
            raise ConfigurationServiceError(
                "The configuration service returned no content for a part."
            )
        return reply.body

    async def vm_list(self, etag: str, wait_s: float) -> SourceReply:
        """Return the VM list; wait up to `wait_s` seconds for a change from `etag`."""
        return await self._conditional_get(f"{self._vm_list}/vms", etag, wait_s)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _conditional_get(self, url: str, etag: str, wait_s: float) -> SourceReply:
        headers = {}
        if etag:
            headers["if-none-match"] = etag
        if wait_s > 0:
            headers["prefer"] = f"wait={int(wait_s)}"
        return await self._get(url, headers, wait_s)

    async def _get(
        self, url: str, headers: Mapping[str, str], wait_s: float
    ) -> SourceReply:
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": ANSWER_TIMEOUT_S + wait_s,
            "read": ANSWER_TIMEOUT_S + wait_s,
            "write": ANSWER_TIMEOUT_S,
        }
        try:
            async with self._pool.stream(
                "GET",
                url,
                headers=list(headers.items()),
                extensions={"timeout": timeout},
            ) as response:
                return await _read(response)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise ConfigurationServiceError(
                f"No answer from {url}: {type(error).__name__} {error}",
                hint="The last valid configuration stays in force.",
            ) from error
        except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
            raise ConfigurationServiceError(
                f"Invalid HTTP from {url}: {error}"
            ) from error


async def _read(response: httpcore.Response) -> SourceReply:
    etag = ""
    for name, value in response.headers:
        if name.lower() == b"etag":
            etag = value.decode("latin-1")
    if response.status == _HTTP_NOT_MODIFIED:
        return SourceReply(etag, None)
    if response.status != _HTTP_OK:
        raise ConfigurationServiceError(
            f"The configuration service answered with status {response.status}."
        )
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        # The service stores no larger values, so the body cannot be one of them.
        if len(body) > MAX_PART_BYTES:
            raise ConfigurationServiceError(
                "The configuration service sent an answer larger than 1 MB."
            )
    return SourceReply(etag, bytes(body))
