//! HTTP client of the target: chat completions of a model engine and calls of a plain service.

use std::{fmt, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use cyc_proto::sidecar::{RunRequest, Work};
use cyc_types::{RequestId, Tokens};
use eventsource_stream::Eventsource as _;
use futures::{Stream, StreamExt as _};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;

/// Upper bound of the body of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A request to the target failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The request was not sent, so the target has not received it.
    NotSent(String),
    /// The target answered with this error status and body.
    Refused(u16, String),
    /// The request may have been sent, but its answer is missing, incomplete or cannot be read.
    InvalidAnswer(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "the request was not sent to the target: {reason}"),
            Self::Refused(status, body) => write!(f, "the target answered {status}: {body}"),
            Self::InvalidAnswer(reason) => write!(f, "the target's answer broke off: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// One event of a chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChatEvent {
    /// Generated text.
    Text(String),
    /// The finish reason given by the engine.
    Finished(SmolStr),
    /// The token counts reported by the engine.
    Usage {
        /// Prompt tokens.
        prompt: Tokens,
        /// Generated tokens.
        output: Tokens,
    },
    /// The end marker of the stream, `[DONE]`.
    Done,
}

/// The events of one chat completion.
pub type ChatStream = Pin<Box<dyn Stream<Item = Result<ChatEvent, Error>> + Send>>;

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header; `application/octet-stream` without a readable one.
    pub content_type: SmolStr,
    /// The body, which has to be UTF-8.
    pub body: String,
}

/// HTTP client of one target.
#[derive(Debug, Clone)]
pub struct TargetClient {
    addr: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct ChunkJson {
    id: Option<String>,
    #[serde(default)]
    choices: Vec<ChoiceJson>,
    usage: Option<UsageJson>,
}

#[derive(Deserialize)]
struct ChoiceJson {
    #[serde(default)]
    delta: DeltaJson,
    finish_reason: Option<SmolStr>,
}

#[derive(Default, Deserialize)]
struct DeltaJson {
    content: Option<String>,
}

#[derive(Deserialize)]
struct UsageJson {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// # Requests
impl TargetClient {
    /// Creates a client. Connections are opened on the first request.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { addr, http }
    }

    /// Starts a chat completion and returns its events.
    pub async fn chat(&self, req: &RunRequest) -> Result<ChatStream, Error> {
        let Work::Chat { body, max_output } = &req.work else {
            return Err(Error::NotSent("a chat needs a chat body".into()));
        };
        let body = engine_body(body, *max_output, req.request)?;
        let answer = self
            .send(post_request(self.addr, "/v1/chat/completions", body)?)
            .await?;
        let answer = check_status(answer).await?;
        Ok(chat_events(answer.into_body(), req.request))
    }

    /// Calls a plain service.
    pub async fn call(&self, req: &RunRequest) -> Result<CallAnswer, Error> {
        let Work::Call {
            method,
            path,
            content_type,
            body,
        } = &req.work
        else {
            return Err(Error::NotSent("a call needs a method and a path".into()));
        };
        let mut call = Request::builder()
            .method(method.as_str())
            .uri(format!("http://{}{path}", self.addr))
            .header("idempotency-key", req.request.to_string());
        if let Some(content_type) = content_type {
            call = call.header(header::CONTENT_TYPE, content_type.as_str());
        }
        let call = call
            .body(Full::new(Bytes::from(body.clone())))
            .map_err(not_sent)?;
        read_answer(self.send(call).await?).await
    }

    /// Asks the engine to cancel a completion.
    pub async fn cancel(&self, request: RequestId) -> Result<(), Error> {
        let body = json!({ "request_id": request.to_string() }).to_string();
        let answer = self
            .send(post_request(self.addr, "/v1/cancel", body)?)
            .await?;
        check_status(answer).await.map(|_| ())
    }

    /// Gets a JSON document of the target, such as its load.
    pub async fn get_json(&self, path: &str) -> Result<Value, Error> {
        let req = Request::get(format!("http://{}{path}", self.addr))
            .body(Full::default())
            .map_err(not_sent)?;
        let answer = check_status(self.send(req).await?).await?;
        serde_json::from_str(&read_text(answer).await?).map_err(invalid_answer)
    }

    /// Posts a JSON document and returns the status and the body of the answer.
    pub async fn post_json(&self, path: &str, body: &Value) -> Result<(u16, String), Error> {
        let answer = self
            .send(post_request(self.addr, path, body.to_string())?)
            .await?;
        let status = answer.status().as_u16();
        Ok((status, read_text(answer).await?))
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.http.request(req).await.map_err(|error| {
            if error.is_connect() {
                not_sent(error)
            } else {
                invalid_answer(error)
            }
        })
    }
}

fn not_sent(error: impl fmt::Display) -> Error {
    Error::NotSent(error.to_string())
}

fn invalid_answer(error: impl fmt::Display) -> Error {
    Error::InvalidAnswer(error.to_string())
}

fn post_request(addr: SocketAddr, path: &str, body: String) -> Result<Request<Full<Bytes>>, Error> {
    Request::post(format!("http://{addr}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(not_sent)
}

/// Overwrites the fields of the caller's body that the sidecar sets: streaming, the token limit and
/// the request id.
fn engine_body(body: &str, max_output: Tokens, request: RequestId) -> Result<String, Error> {
    let mut json: Value = serde_json::from_str(body).map_err(not_sent)?;
    let fields = json
        .as_object_mut()
        .ok_or_else(|| Error::NotSent("not an object".into()))?;
    fields.insert("stream".into(), json!(true));
    fields.insert("stream_options".into(), json!({ "include_usage": true }));
    fields.insert("max_tokens".into(), json!(max_output));
    fields.insert("request_id".into(), json!(request.to_string()));
    Ok(json.to_string())
}

async fn check_status(answer: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let text = read_text(answer).await.unwrap_or_default();
    Err(Error::Refused(status.as_u16(), text))
}

async fn read_text(answer: Response<Incoming>) -> Result<String, Error> {
    let body = http_body_util::Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let bytes = body.collect().await.map_err(invalid_answer)?.to_bytes();
    String::from_utf8(bytes.into()).map_err(invalid_answer)
}

async fn read_answer(answer: Response<Incoming>) -> Result<CallAnswer, Error> {
    let status: StatusCode = answer.status();
    let content_type = answer
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    Ok(CallAnswer {
        status: status.as_u16(),
        content_type,
        body: read_text(answer).await?,
    })
}

/// Parses the server-sent events of a chat completion.
fn chat_events(body: Incoming, request: RequestId) -> ChatStream {
    let events = body.into_data_stream().eventsource();
    let parsed = events.flat_map(move |event| {
        let items = match event {
            Ok(event) => parse_chunk(&event.data, request),
            Err(error) => vec![Err(invalid_answer(error))],
        };
        futures::stream::iter(items)
    });
    Box::pin(parsed)
}

fn parse_chunk(data: &str, request: RequestId) -> Vec<Result<ChatEvent, Error>> {
    if data == "[DONE]" {
        return vec![Ok(ChatEvent::Done)];
    }
    let chunk: ChunkJson = match serde_json::from_str(data) {
        Ok(chunk) => chunk,
        Err(error) => return vec![Err(invalid_answer(error))],
    };
    if chunk
        .id
        .as_deref()
        .is_some_and(|id| id != request.to_string())
    {
        return vec![Err(Error::InvalidAnswer(
            "a piece of another answer arrived".into(),
        ))];
    }
    let mut items = Vec::new();
    for choice in chunk.choices {
        let text = choice.delta.content.filter(|text| !text.is_empty());
        items.extend(text.map(|text| Ok(ChatEvent::Text(text))));
        items.extend(
            choice
                .finish_reason
                .map(|reason| Ok(ChatEvent::Finished(reason))),
        );
    }
    if let Some(usage) = chunk.usage {
        let prompt = Tokens::new(usage.prompt_tokens);
        let output = Tokens::new(usage.completion_tokens);
        items.push(Ok(ChatEvent::Usage { prompt, output }));
    }
    items
}
