//! Answers as they go to callers: whole, or visibly not whole.

use std::{convert::Infallible, io, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde_json::json;
use tokio::{sync::mpsc, time};

use crate::{endpoint::engine::Usage, entry::refusal::Refusal, prelude::RequestId};

/// A body whose failure closes the connection before the body's end is marked.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The header that carries the request's id.
pub const ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// What the task that runs a request sends to the one that answers the caller.
#[derive(Debug)]
pub enum Message {
    /// A refusal, as the first and last message.
    Refused(Refusal),
    /// The head of an answer.
    Begin {
        /// Its status.
        status: StatusCode,
        /// Its content type.
        content_type: HeaderValue,
    },
    /// A part of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Time for the last event to reach the caller before its connection is cut.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Makes a whole body.
pub fn full(text: impl Into<Bytes>) -> Body {
    let body = Full::new(text.into()).map_err(|e: Infallible| match e {});
    body.boxed_unsync()
}

/// Makes the answer of what a request's task sends.
pub async fn response_from_messages(
    id: RequestId,
    mut messages: mpsc::Receiver<Message>,
) -> Response<Body> {
    let mut response = match messages.recv().await {
        Some(Message::Begin {
            status,
            content_type,
        }) => {
            let mut response = Response::new(streaming_body(messages));
            *response.status_mut() = status;
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Some(Message::Refused(refusal)) => refusal.response(Some(id)),
        _ => {
            let refusal = Refusal::unknown("internal", "the request's task ended early");
            refusal.response(Some(id))
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(ID_HEADER, value);
    }
    response
}

/// Relays parts as they come. If they stop without an [`Message::End`] the body fails, so that the
/// connection is closed without the mark of a whole body.
fn streaming_body(messages: mpsc::Receiver<Message>) -> Body {
    let parts = stream::unfold(Some(messages), |messages| async {
        let mut messages = messages?;
        match messages.recv().await {
            Some(Message::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some(messages))),
            Some(Message::End) => None,
            _ => {
                // hyper drops what it has not written when a body fails: let it write first.
                time::sleep(ABORT_DELAY).await;
                Some((Err(io::Error::other("the answer is not whole")), None))
            }
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Writes one server-sent event.
pub fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Writes the event that says that a stream is not whole.
pub fn sse_error(refusal: &Refusal, id: RequestId) -> Bytes {
    let json = refusal.json(Some(id));
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}

/// Writes a whole answer of a model.
pub fn completion_body(
    id: RequestId,
    model: &str,
    chat: bool,
    text: &str,
    finish_reason: &str,
    usage: Usage,
) -> String {
    let choice = if chat {
        let message = json!({"role": "assistant", "content": text});
        json!({"index": 0, "message": message, "finish_reason": finish_reason})
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish_reason})
    };
    let object = if chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    let total = usage.prompt_tokens + usage.completion_tokens;
    json!({
        "id": id.to_string(),
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": total,
        },
    })
    .to_string()
}
