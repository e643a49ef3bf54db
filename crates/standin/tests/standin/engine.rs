//! Contract of the engine: streams, answer faults, cancel, resume, orders, cache and load.

use std::time::Duration;

use axum::{Router, body::Body};
use cyc_standin::{
    client::{Answer, Client},
    engine::{
        CacheAction, ChatRequest, Counters, Engine, Faults, Load, Message, Options, Order,
        OrderAction, expected_text, router,
    },
    serve::Server,
};
use cyc_types::{Clock, Millis};
use googletest::prelude::*;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use tokio::time::Instant;
use tower::ServiceExt as _;

/// Time limit for a condition that must become true.
const MAX_WAIT: Duration = Duration::from_secs(60);

struct Fixture {
    engine: Engine,
    client: Client,
    _server: Server,
}

async fn fixture(options: Options) -> std::io::Result<Fixture> {
    let engine = Engine::new(options);
    let server = Server::start(router(engine.clone())).await?;
    Ok(Fixture {
        client: Client::new(server.addr()),
        engine,
        _server: server,
    })
}

/// Options of an engine that generates without delay.
fn zero_latency() -> Options {
    Options {
        token_time: Millis::ZERO,
        prefill_block_time: Millis::ZERO,
        ..Options::default()
    }
}

fn chat(id: &str, prompt: &str) -> ChatRequest {
    ChatRequest {
        model: "writer".into(),
        messages: vec![Message {
            role: "user".into(),
            content: prompt.into(),
        }],
        max_tokens: None,
        stream: true,
        request_id: Some(id.into()),
        priority: 0,
        from: 0,
    }
}

/// The parsed content of a response stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct ParsedStream {
    ids: Vec<String>,
    text: String,
    finish_reason: String,
    completion_tokens: Option<u64>,
    done: bool,
}

fn parse(answer: &Answer) -> Result<ParsedStream> {
    let mut stream = ParsedStream::default();
    for line in answer.text.lines().filter(|line| !line.is_empty()) {
        let data = line.strip_prefix("data: ").or_fail()?;
        if data == "[DONE]" {
            stream.done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data)?;
        let id = chunk["id"].as_str().unwrap_or_default().to_owned();
        if !stream.ids.contains(&id) {
            stream.ids.push(id);
        }
        let choice = &chunk["choices"][0];
        stream.text += choice["delta"]["content"].as_str().unwrap_or_default();
        stream.finish_reason += choice["finish_reason"].as_str().unwrap_or_default();
        let tokens = chunk["usage"]["completion_tokens"].as_u64();
        stream.completion_tokens = stream.completion_tokens.or(tokens);
    }
    Ok(stream)
}

impl Fixture {
    async fn send(&self, req: &ChatRequest) -> Result<Answer> {
        let path = "/v1/chat/completions";
        Ok(self.client.send_json(Method::POST, path, req).await?)
    }

    /// Sends a request in a separate task.
    fn spawn(&self, req: ChatRequest) -> tokio::task::JoinHandle<Option<Answer>> {
        let client = self.client.clone();
        tokio::spawn(async move {
            let path = "/v1/chat/completions";
            client.send_json(Method::POST, path, &req).await.ok()
        })
    }

    /// Waits until the counters and the load of the engine satisfy `condition`.
    async fn wait_until(&self, condition: impl Fn(&Counters, &Load) -> bool) -> Result<()> {
        let reached = async {
            while !condition(&self.engine.counters(), &self.engine.load()) {
                tokio::task::yield_now().await;
            }
        };
        // Keeps a faulty engine from blocking the test run.
        tokio::time::timeout(MAX_WAIT, reached).await.or_fail()
    }

    async fn cancel(&self, id: &str) -> Result<Value> {
        let body = json!({"request_id": id});
        let answer = self.client.send_json(Method::POST, "/v1/cancel", &body);
        Ok(answer.await?.json()?)
    }
}

#[gtest]
#[tokio::test]
async fn answers_have_the_length_and_text_that_the_prompt_determines() -> Result<()> {
    let fixture = fixture(zero_latency()).await?;
    for (prompt, max_tokens, tokens, finish_reason) in [
        ("draft len=5", None, 5, "stop"),
        ("draft len=5", Some(5), 5, "stop"),
        ("draft len=50 please", Some(7), 7, "length"),
        ("draft", None, 16, "stop"),
        ("len=0", None, 0, "stop"),
        ("len=x", Some(0), 0, "length"),
    ] {
        let req = ChatRequest {
            max_tokens,
            ..chat("r-1", prompt)
        };
        let answer = fixture.send(&req).await?;
        let want = ParsedStream {
            ids: vec!["r-1".into()],
            text: expected_text(prompt, tokens),
            finish_reason: finish_reason.into(),
            completion_tokens: Some(tokens),
            done: true,
        };
        expect_that!(parse(&answer)?, eq(&want), "{prompt}");

        let non_streamed = fixture
            .send(&ChatRequest {
                stream: false,
                ..req
            })
            .await?;
        let non_streamed: Value = non_streamed.json()?;
        let content = non_streamed["choices"][0]["message"]["content"].as_str();
        expect_that!(content, some(eq(want.text.as_str())), "{prompt}");
        expect_that!(
            non_streamed["usage"]["completion_tokens"].as_u64(),
            some(eq(tokens))
        );
        expect_that!(
            non_streamed["choices"][0]["finish_reason"].as_str(),
            some(eq(finish_reason))
        );
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn concurrent_answers_are_not_mixed_up() -> Result<()> {
    let fixture = fixture(Options {
        slots: 4,
        ..zero_latency()
    })
    .await?;
    let prompts: Vec<_> = (0..24)
        .map(|n| format!("question {n} len={}", n + 1))
        .collect();
    let runs = prompts
        .iter()
        .map(|prompt| fixture.spawn(chat(prompt, prompt)));
    for (n, run) in runs.collect::<Vec<_>>().into_iter().enumerate() {
        let stream = parse(&run.await?.or_fail()?)?;
        let prompt = &prompts[n];
        expect_that!(stream.ids, eq(&vec![prompt.clone()]));
        expect_that!(stream.text, eq(&expected_text(prompt, n as u64 + 1)));
        expect_that!(fixture.engine.counters().runs_of(prompt), eq(1));
    }
    Ok(())
}

/// Expected result of each fault: status, complete body, tokens, end marker and number of runs.
#[gtest]
#[tokio::test]
async fn answer_faults_have_the_expected_effect() -> Result<()> {
    const PROMPT: &str = "guide len=6";
    let ok = StatusCode::OK;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let table = [
        (Faults::default(), ok, true, 6, true, 1),
        (
            Faults {
                late: Millis::new(1),
                ..Faults::default()
            },
            ok,
            true,
            6,
            true,
            1,
        ),
        (
            Faults {
                token_delay: Millis::new(1),
                ..Faults::default()
            },
            ok,
            true,
            6,
            true,
            1,
        ),
        (
            Faults {
                break_after: Some(3),
                ..Faults::default()
            },
            ok,
            false,
            3,
            false,
            1,
        ),
        (
            Faults {
                truncate_after: Some(3),
                ..Faults::default()
            },
            ok,
            true,
            3,
            false,
            1,
        ),
        (
            Faults {
                refuse: true,
                ..Faults::default()
            },
            unavailable,
            true,
            0,
            false,
            0,
        ),
        (
            Faults {
                status: Some(503),
                ..Faults::default()
            },
            unavailable,
            true,
            0,
            false,
            1,
        ),
        (
            Faults {
                times: Some(0),
                refuse: true,
                ..Faults::default()
            },
            ok,
            true,
            6,
            true,
            1,
        ),
    ];
    for (faults, status, complete, tokens, done, runs) in table {
        let fixture = fixture(zero_latency()).await?;
        fixture.engine.set_faults(faults.clone());
        let answer = fixture.send(&chat("r", PROMPT)).await?;
        expect_that!(answer.status, eq(status), "{faults:?}");
        expect_that!(answer.complete, eq(complete), "{faults:?}");
        expect_that!(
            fixture.engine.counters().runs_of("r"),
            eq(runs),
            "{faults:?}"
        );
        fixture.wait_until(|_, load| load.running == 0).await?;
        if answer.status == ok {
            let stream = parse(&answer)?;
            expect_that!(
                stream.text,
                eq(&expected_text(PROMPT, tokens)),
                "{faults:?}"
            );
            expect_that!(stream.done, eq(done), "{faults:?}");
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn the_fault_crossed_sends_another_id_and_text() -> Result<()> {
    let fixture = fixture(zero_latency()).await?;
    fixture.engine.set_faults(Faults {
        crossed: true,
        times: Some(1),
        ..Faults::default()
    });
    let crossed = parse(&fixture.send(&chat("r", "guide")).await?)?;
    expect_that!(crossed.ids, eq(&vec!["crossed".to_owned()]));
    expect_that!(crossed.text, not(eq(&expected_text("guide", 16))));
    let uncrossed = parse(&fixture.send(&chat("r", "guide")).await?)?;
    expect_that!(uncrossed.ids, eq(&vec!["r".to_owned()]));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_hanging_engine_starts_the_run() -> Result<()> {
    let fixture = fixture(zero_latency()).await?;
    let faults = json!({"hang": true});
    fixture
        .client
        .send_json(Method::PUT, "/admin/faults", &faults)
        .await?;
    let run = fixture.spawn(chat("r", "guide"));
    fixture
        .wait_until(|counters, _| counters.runs_of("r") == 1)
        .await?;
    expect_that!(run.is_finished(), eq(false));
    run.abort();
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_cancelled_run_reports_its_usage() -> Result<()> {
    let fixture = fixture(zero_latency()).await?;
    fixture.engine.set_faults(Faults {
        stall_after: Some(2),
        ..Faults::default()
    });
    let run = fixture.spawn(chat("r", "guide"));
    fixture
        .wait_until(|counters, _| counters.tokens_generated == 2)
        .await?;
    expect_that!(
        fixture.cancel("other").await?,
        eq(&json!({"cancelled": false}))
    );
    expect_that!(fixture.cancel("r").await?, eq(&json!({"cancelled": true})));
    let stream = parse(&run.await?.or_fail()?)?;
    expect_that!(stream.finish_reason, eq("cancelled"));
    expect_that!(stream.completion_tokens, some(eq(2)));
    expect_that!(stream.text, eq(&expected_text("guide", 2)));
    fixture.wait_until(|_, load| load.running == 0).await?;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_aborted_stream_is_resumed_without_a_second_run() -> Result<()> {
    let fixture = fixture(zero_latency()).await?;
    fixture.engine.set_faults(Faults {
        break_after: Some(5),
        times: Some(1),
        ..Faults::default()
    });
    let first = parse(&fixture.send(&chat("r", "guide")).await?)?;
    let resume = ChatRequest {
        from: 5,
        ..chat("r", "guide")
    };
    let rest = parse(&fixture.send(&resume).await?)?;
    expect_that!(first.text + &rest.text, eq(&expected_text("guide", 16)));
    expect_that!(rest.completion_tokens, some(eq(16)));
    let counters = fixture.engine.counters();
    expect_that!((counters.runs_of("r"), counters.resumes["r"]), eq((1, 1)));
    expect_that!(counters.tokens_generated, eq(16));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_free_slot_goes_to_the_highest_priority() -> Result<()> {
    let fixture = fixture(Options {
        slots: 1,
        ..zero_latency()
    })
    .await?;
    fixture.engine.set_faults(Faults {
        stall_after: Some(1),
        ..Faults::default()
    });
    let mut runs = Vec::new();
    for (waiting, (id, priority)) in [("first", 0), ("low", 1), ("high", 2)]
        .into_iter()
        .enumerate()
    {
        let req = ChatRequest {
            priority,
            ..chat(id, id)
        };
        runs.push((id, fixture.spawn(req)));
        fixture
            .wait_until(|counters, load| {
                counters.tokens_generated == 1 && load.waiting == waiting as u64
            })
            .await?;
    }
    // Each run stalls after one token, so the token count shows which run has the slot.
    for (tokens, id) in [(1, "first"), (2, "high"), (3, "low")] {
        fixture
            .wait_until(|counters, _| counters.tokens_generated == tokens)
            .await?;
        fixture.cancel(id).await?;
    }
    for (id, run) in runs {
        let stream = parse(&run.await?.or_fail()?)?;
        expect_that!(stream.completion_tokens, some(eq(1)), "{id}");
    }
    Ok(())
}

/// Runs chats concurrently on the paused clock and returns the elapsed time.
async fn elapsed(router: &Router, reqs: &[ChatRequest]) -> Result<Duration> {
    let start = Instant::now();
    let mut runs = Vec::new();
    for req in reqs {
        let req = Request::post("/v1/chat/completions")
            .header("content-type", "application/json")
            .body(Body::from(serde_json::to_vec(req)?))?;
        let router = router.clone();
        runs.push(async move {
            let Ok(answer) = router.oneshot(req).await;
            answer.into_body().collect().await
        });
    }
    for answer in futures::future::join_all(runs).await {
        answer.or_fail()?;
    }
    Ok(start.elapsed())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn tokens_slow_down_in_a_batch_and_prefill_speeds_up_with_the_cache() -> Result<()> {
    let options = Options {
        token_time: Millis::new(10),
        batch_slowdown_percent: 50,
        prefill_block_time: Millis::new(10),
        ..Options::default()
    };
    let router = router(Engine::new(options));
    let alone = elapsed(&router, &[chat("a", "len=10")]).await?;
    let eight: Vec<_> = (0..8).map(|_| chat("b", "len=10")).collect();
    expect_that!(elapsed(&router, &eight).await?, gt(alone * 2));
    let long_prompt = chat("c", &format!("{} len=1", "wiring ".repeat(100)));
    let uncached = elapsed(&router, std::slice::from_ref(&long_prompt)).await?;
    expect_that!(elapsed(&router, &[long_prompt]).await?, lt(uncached / 2));
    Ok(())
}

fn order(fencing: u64, version: &str) -> Order {
    Order {
        fencing,
        action: OrderAction::LoadModel,
        model: Some("writer".into()),
        version: Some(version.into()),
        adapter: None,
        role: None,
    }
}

#[gtest]
#[tokio::test]
async fn stale_fencing_numbers_are_refused_only_if_they_are_checked() -> Result<()> {
    for (checks_fencing, old_status, version) in [
        (true, StatusCode::CONFLICT, "5"),
        (false, StatusCode::OK, "4"),
    ] {
        let fixture = fixture(Options {
            checks_fencing,
            ..zero_latency()
        })
        .await?;
        for (fencing, want) in [(5, StatusCode::OK), (5, StatusCode::OK), (4, old_status)] {
            let order = order(fencing, &fencing.to_string());
            let answer = fixture
                .client
                .send_json(Method::POST, "/v1/orders", &order)
                .await?;
            expect_that!(answer.status, eq(want), "{checks_fencing} {fencing}");
        }
        let load: Load = fixture.client.get("/v1/load").await?.json()?;
        expect_that!(load.models["writer"], eq(version));
        let counters: Counters = fixture.client.get("/admin/counters").await?.json()?;
        let accepted: Vec<_> = counters
            .orders
            .iter()
            .map(|recorded| recorded.accepted)
            .collect();
        expect_that!(accepted, eq(&vec![true, true, !checks_fencing]));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn orders_change_the_served_models_and_the_role() -> Result<()> {
    let fixture = fixture(zero_latency()).await?;
    let table = [
        (
            json!({"action": "load_adapter", "model": "writer", "adapter": "quiz"}),
            StatusCode::OK,
        ),
        (
            json!({"action": "load_model", "model": "other"}),
            StatusCode::BAD_REQUEST,
        ),
        (
            json!({"action": "set_role", "role": "decode"}),
            StatusCode::OK,
        ),
        (json!({"action": "set_role"}), StatusCode::BAD_REQUEST),
    ];
    for (mut order, want) in table {
        order["fencing"] = 1.into();
        let answer = fixture
            .client
            .send_json(Method::POST, "/v1/orders", &order)
            .await?;
        expect_that!(answer.status, eq(want), "{order}");
    }
    expect_that!(fixture.engine.load().role.to_string(), eq("decode"));
    for unloaded in [false, true] {
        for (model, served) in [("writer", true), ("writer:quiz", true), ("other", false)] {
            let req = ChatRequest {
                model: model.into(),
                ..chat("r", "len=1")
            };
            let status = fixture.send(&req).await?.status;
            let want = if served && !unloaded {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            };
            expect_that!(status, eq(want), "{model} {unloaded}");
        }
        let unload = json!({"action": "unload_model", "model": "writer", "fencing": 2});
        fixture
            .client
            .send_json(Method::POST, "/v1/orders", &unload)
            .await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn cache_events_and_load_are_delayed_and_events_are_dropped() -> Result<()> {
    let clock = Clock::new_manual(Millis::new(1_000));
    let fixture = fixture(Options {
        cache_blocks: 2,
        clock: clock.clone(),
        ..zero_latency()
    })
    .await?;
    fixture.engine.set_faults(Faults {
        events_late: Millis::new(100),
        load_lag: Millis::new(200),
        ..Faults::default()
    });
    for letter in ["a", "b", "c"] {
        fixture.send(&chat(letter, &letter.repeat(64))).await?;
    }
    fixture.engine.order(order(1, "2")).await?;
    let actions = |after| {
        let events = fixture.engine.cache_events(after).events;
        events
            .into_iter()
            .map(|e| (e.sequence, e.action))
            .collect::<Vec<_>>()
    };
    let (stored, evicted) = (CacheAction::Stored, CacheAction::Evicted);
    clock.advance(Millis::new(99));
    expect_that!(actions(0), is_empty());
    clock.advance(Millis::new(1));
    let all = vec![(1, stored), (2, stored), (3, stored), (4, evicted)];
    expect_that!(actions(0), eq(&all));
    expect_that!(actions(3), eq(&vec![(4, evicted)]));
    let version = || fixture.engine.load().models["writer"].clone();
    clock.advance(Millis::new(99));
    expect_that!(version(), eq("1"));
    clock.advance(Millis::new(1));
    expect_that!(version(), eq("2"));
    fixture.engine.set_faults(Faults {
        events_lost_every: 2,
        ..Faults::default()
    });
    expect_that!(actions(0), eq(&vec![(1, stored), (3, stored)]));
    let counters = fixture.engine.counters();
    expect_that!((counters.blocks_hit, counters.blocks_missed), eq((0, 3)));
    Ok(())
}
