//! Responses to callers. A caller can always tell a complete response from one that was cut off.

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

use crate::{
    caller_stream::delimit_by_close, endpoint::engine::Usage, entry::refusal::Refusal,
    prelude::RequestId,
};

/// A response body. If it fails, the connection is closed without the terminator of a complete body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The header that carries the request's id.
pub const ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// A message from the task that runs a request to the task that answers the caller.
#[derive(Debug)]
pub enum Message {
    /// A refusal; the first and only message.
    Refused(Refusal),
    /// The head of a response.
    Begin {
        /// HTTP status.
        status: StatusCode,
        /// Content type.
        content_type: HeaderValue,
        /// Whether only the close of the connection delimits the response, since nothing states where the answer ends that
        /// it passes on.
        is_delimited_by_close: bool,
    },
    /// A part of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Delay before the connection is aborted, so that the last event still reaches the caller.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Creates a complete body.
pub fn full(text: impl Into<Bytes>) -> Body {
    let body = Full::new(text.into()).map_err(|e: Infallible| match e {});
    body.boxed_unsync()
}

/// Builds the response from the messages of a request's task.
pub async fn response_from_messages(
    id: RequestId,
    mut messages: mpsc::Receiver<Message>,
) -> Response<Body> {
    let mut response = match messages.recv().await {
        Some(Message::Begin {
            status,
            content_type,
            is_delimited_by_close,
        }) => {
            let mut response = Response::new(streaming_body(messages));
            *response.status_mut() = status;
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            match is_delimited_by_close {
                true => delimit_by_close(response),
                false => response,
            }
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

/// Relays parts of the body as they arrive. If they stop without a [`Message::End`], the body fails, so
/// that the connection is closed without the terminator of a complete body.
fn streaming_body(messages: mpsc::Receiver<Message>) -> Body {
    let parts = stream::unfold(Some(messages), |messages| async {
        let mut messages = messages?;
        match messages.recv().await {
            Some(Message::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some(messages))),
            Some(Message::End) => None,
            _ => {
                // hyper discards data that it has not written yet when a body fails, so give it time to write.
                time::sleep(ABORT_DELAY).await;
                Some((Err(io::Error::other("the response was cut off")), None))
            }
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Formats a server-sent event.
pub fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Formats the error event that ends a stream which was cut off.
pub fn sse_error(refusal: &Refusal, id: RequestId) -> Bytes {
    let json = refusal.json(Some(id));
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}

/// Formats a complete, non-streaming completion.
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
