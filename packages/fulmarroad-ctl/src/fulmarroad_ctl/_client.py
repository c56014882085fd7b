"""HTTP client of a router's admin port."""

from __future__ import annotations

import json
import ssl
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import httpcore
from result import Err, Ok, Result

from fulmarroad_ctl.exceptions import RouterError

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 10.0
"""Timeout for an answer in seconds, in addition to the requested wait."""

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Maximum size of an answer; tables of 16,000 workspaces are a few megabytes (JSON)."""

_HTTP_OK = 200
_HINTS = {
    401: "Pass the file with the router's admin token as --token_file.",
    404: "Check the name against `fulmarroadctl status` or the tables.",
    503: "Wait until the router is ready, or query another one.",
}


class AdminClient:
    """Send requests to the admin port of one router."""

    def __init__(self, url: str, token: str, authority: str = "") -> None:
        """Set URL, bearer token and the PEM file of the certificate authority."""
        self._url = url.rstrip("/")
        self._token = token
        self._authority = authority

    def get(
        self, path: str, query: Mapping[str, str] | None = None, wait_s: float = 0.0
    ) -> Result[Any, RouterError]:
        """Return the JSON document at a path, or the error."""
        target = f"{path}?{urlencode(query)}" if query else path
        return self._request("GET", target, wait_s)

    def post(self, path: str) -> Result[Any, RouterError]:
        """Post to a path without a body; return the JSON answer or the error."""
        return self._request("POST", path, 0.0)

    def _request(
        self, method: str, target: str, wait_s: float
    ) -> Result[Any, RouterError]:
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "read": ANSWER_TIMEOUT_S + wait_s,
            "write": ANSWER_TIMEOUT_S,
            "pool": ANSWER_TIMEOUT_S,
        }
        try:
            with httpcore.ConnectionPool(ssl_context=self._ssl_context()) as pool:
                response = pool.request(
                    method,
                    self._url + target,
                    headers=[("authorization", f"Bearer {self._token}")],
                    extensions={"timeout": timeout},
                )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
            OSError,
        ) as error:
            return Err(self._unreachable_error(error))
        return self._parse_response(response)

    def _parse_response(self, response: httpcore.Response) -> Result[Any, RouterError]:
        content = response.content
        try:
            document = (
                json.loads(content) if len(content) <= MAX_RESPONSE_BYTES else None
            )
        except ValueError:
            document = None
        if response.status == _HTTP_OK and isinstance(document, dict):
            return Ok(document)
        if response.status == _HTTP_OK:
            return Err(
                RouterError(
                    f"{self._url} did not answer like an admin port.",
                    hint="Pass the admin port, not the callers' port, as --admin.",
                )
            )
        reason = document.get("error", "") if isinstance(document, dict) else ""
        return Err(
            RouterError(
                f"The router answered {response.status}: {reason or 'no reason given'}",
                hint=_HINTS.get(response.status, ""),
            )
        )

    def _unreachable_error(self, error: Exception) -> RouterError:
        cause = str(error) or type(error).__name__
        return RouterError(
            f"The router at {self._url} gave no answer: {cause}",
            hint="Check --admin, and that the router runs; its port is on loopback by "
            "default, so run this on the router's VM.",
        )

    def _ssl_context(self) -> ssl.SSLContext | None:
        if not self._authority:
            return None
        return ssl.create_default_context(cafile=self._authority)
