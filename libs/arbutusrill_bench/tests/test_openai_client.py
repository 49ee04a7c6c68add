"""Tests compatibility of the HTTP interface with OpenAI's official Python client."""

import openai
import pytest

from arbutusrill_bench import LocalSite

MODEL = "route-writer"
MESSAGES = [{"role": "user", "content": "Summarise route 7 for the driver."}]


@pytest.fixture(scope="module")
def site():
    with LocalSite(controls=1, entries=1) as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 100_000, "burst": 1_000_000})
        operators.call("PUT", "/workspaces/tiny", {"rate": 1, "burst": 100})
        site.add_engine("engine-p1", "--role", "prefill", "--models", MODEL)
        site.add_engine("engine-d1", "--role", "decode", "--models", MODEL)
        site.wait_for_pool(MODEL)
        yield site
        site.kill_all()


def client_of(site, workspace):
    issued = site.operators.call("POST", "/keys", {"workspace": workspace})
    site.operators.call("GET", f"/in-force/{issued['revision']}")
    return openai.OpenAI(
        base_url=f"http://{site.of_kind('entry')[0].address}/v1", api_key=issued["key"], max_retries=0, timeout=30
    )


@pytest.fixture(scope="module")
def client(site):
    with client_of(site, "dispatch") as client:
        site.wait_until(lambda: is_served(client), "a completion is served")
        yield client


def is_served(client):
    try:
        return bool(client.completions.create(model=MODEL, prompt="x", max_tokens=1).choices)
    except openai.APIError:
        return False


def test_models_are_listed_and_found(client):
    assert [model.id for model in client.models.list()] == [MODEL]
    assert client.models.retrieve(MODEL).id == MODEL


def test_chat_not_streamed(client):
    answer = client.chat.completions.create(model=MODEL, messages=MESSAGES, max_tokens=8)
    assert len(answer.choices[0].message.content.split()) == 8
    assert (answer.choices[0].finish_reason, answer.usage.completion_tokens) == ("length", 8)


def test_chat_streamed_with_usage(client):
    stream = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_completion_tokens=8, stream=True, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices)
    assert len(text.split()) == 8
    assert chunks[-1].usage.completion_tokens == 8


def test_completions_not_streamed_and_streamed(client):
    whole = client.completions.create(model=MODEL, prompt="Stops of route 7", max_tokens=6)
    stream = client.completions.create(model=MODEL, prompt="Stops of route 7", max_tokens=6, stream=True)
    assert "".join(chunk.choices[0].text for chunk in stream) == whole.choices[0].text


def test_errors_raise_the_matching_exceptions(site, client):
    chat = client.chat.completions.create
    with pytest.raises(openai.AuthenticationError) as caught:
        client.with_options(api_key="ak-wrong").models.list()
    assert caught.value.code == "invalid_api_key"
    with pytest.raises(openai.NotFoundError) as caught:
        chat(model="no-such-model", messages=MESSAGES)
    assert (caught.value.code, caught.value.param) == ("model_not_found", "model")
    with pytest.raises(openai.BadRequestError) as caught:
        chat(model=MODEL, messages=MESSAGES, max_tokens=-1)
    assert caught.value.param == "max_tokens"
    with client_of(site, "tiny") as tiny, pytest.raises(openai.RateLimitError) as caught:
        for _ in range(10):
            tiny.completions.create(model=MODEL, prompt="x", max_tokens=40, extra_headers={"X-Deadline-Ms": "500"})
    assert caught.value.code == "rate_limited"
    assert float(caught.value.response.headers["retry-after"]) >= 1


def test_stream_ends_with_an_error_when_its_engine_is_killed(site, client):
    stream = client.completions.create(model=MODEL, prompt="x", max_tokens=3000, stream=True)
    with pytest.raises((openai.APIError, openai.APIConnectionError)):
        for number, _ in enumerate(stream):
            if number == 3:
                site.kill("engine-d1")
