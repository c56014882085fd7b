"""Test a running fleet with two common clients, curl and the OpenAI client."""

import json

import anyio
import openai
import pytest

from fulmarroad_bench._processes import processes, start_local_fleet
from fulmarroad_bench.demo import demo_layout


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def local_fleet(anyio_backend):
    async with processes() as starter:
        local_fleet = await start_local_fleet(demo_layout(), starter)
        await local_fleet.start_routers()
        yield local_fleet


def address(local_fleet):
    return f"http://{local_fleet.layout.routers[0].address}"


def client(local_fleet, **options):
    key = local_fleet.layout.workspaces[0].key
    return openai.AsyncOpenAI(
        base_url=f"{address(local_fleet)}/v1",
        **{"api_key": key, "max_retries": 0, **options},
    )


MESSAGES = [{"role": "user", "content": "Write a short letter."}]


async def curl(local_fleet, *arguments):
    key = local_fleet.layout.workspaces[0].key
    command = ["curl", "-sS", "-i", "-H", f"Authorization: Bearer {key}"]
    done = await anyio.run_process([*command, *arguments], check=False)
    return done.stdout.decode().replace("\r\n", "\n")


@pytest.mark.anyio
class TestOpenAiClient:
    async def test_answer_without_streaming(self, local_fleet):
        async with client(local_fleet) as caller:
            answer = await caller.chat.completions.create(
                model="draft-1", messages=MESSAGES, max_tokens=12
            )
        assert answer.usage.completion_tokens == 12
        assert answer.choices[0].message.content

    async def test_streamed_answer(self, local_fleet):
        async with client(local_fleet) as caller:
            stream = await caller.chat.completions.create(
                model="draft-1", messages=MESSAGES, max_tokens=12, stream=True
            )
            parts = [c.choices[0].delta.content async for c in stream if c.choices]
        assert len([part for part in parts if part]) == 12

    async def test_cancelled_stream_frees_the_engine(self, local_fleet):
        async with client(local_fleet) as caller:
            stream = await caller.chat.completions.create(
                model="draft-1", messages=MESSAGES, max_tokens=2000, stream=True
            )
            async for _ in stream:
                break
            await stream.close()
        with anyio.fail_after(20):
            while await self.running(local_fleet):
                await anyio.sleep(0.1)

    async def running(self, local_fleet):
        """Return the engines' records of calls that have not ended."""
        return [
            record
            for report in await local_fleet.engine_reports()
            for record in report["records"]
            if record["end"] is None
        ]

    async def test_wrong_key_is_refused(self, local_fleet):
        async with client(local_fleet, api_key="wrong") as caller:
            with pytest.raises(openai.AuthenticationError) as refused:
                await caller.chat.completions.create(model="draft-1", messages=MESSAGES)
        assert refused.value.response.headers["fulmarroad-ran"] == "not_run"

    async def test_answer_with_client_retries_enabled(self, local_fleet):
        async with client(local_fleet, max_retries=2) as caller:
            answer = await caller.chat.completions.create(
                model="draft-1", messages=MESSAGES, max_tokens=4
            )
        assert answer.usage.completion_tokens == 4


@pytest.mark.anyio
class TestCurl:
    async def test_post_with_an_idempotency_key_runs_once(self, local_fleet):
        post = [
            "-H",
            "Idempotency-Key: letter-7",
            "-d",
            '{"letter": 7}',
            f"{address(local_fleet)}/ledger/reminders",
        ]
        first = await curl(local_fleet, *post)
        second = await curl(local_fleet, *post)
        assert first.startswith("HTTP/1.1 200")
        assert "idempotent-replayed: true" in second
        assert first.split("\n\n")[1] == second.split("\n\n")[1]

    async def test_unknown_route_is_not_found(self, local_fleet):
        answer = await curl(local_fleet, f"{address(local_fleet)}/nowhere")
        head, body = answer.split("\n\n")
        assert head.startswith("HTTP/1.1 404")
        assert json.loads(body)["error"]["ran"] == "not_run"

    async def test_malformed_body_is_a_bad_request(self, local_fleet):
        answer = await curl(
            local_fleet, "-d", "{", f"{address(local_fleet)}/v1/chat/completions"
        )
        assert answer.startswith("HTTP/1.1 400")
