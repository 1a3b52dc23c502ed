//! Stand-in for a plain HTTP service that counts how often each request was executed.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
};
use serde_json::json;

use crate::http::{self, Body, Server};

/// Faults of the service.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Processing time of each request.
    pub delay: Duration,
    /// Executes this many more requests but closes the connection without a response.
    pub lose_answers: u32,
    /// Closes the connection in the middle of the body of this many more responses.
    pub cut_answers: u32,
}

#[derive(Default)]
struct State {
    executions: HashMap<String, u64>,
    total: u64,
    faults: Faults,
}

/// A running plain service.
pub struct Plain {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Plain {
    /// Starts a service on a free loopback port.
    pub async fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into()).await
    }

    /// Starts a service at `addr`.
    pub async fn start_at(addr: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let server = http::serve(addr, move |request| handle(shared.clone(), request)).await;
        Self { server, state }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().expect("no holder panics").faults);
    }

    /// Returns how often each request body was executed.
    pub fn executions(&self) -> HashMap<String, u64> {
        let state = self.state.lock().expect("no holder panics");
        state.executions.clone()
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    if request.uri().path() == "/load" {
        return Ok(http::json(
            &json!({"running": 0, "waiting": 0, "age_ms": 0}),
        ));
    }
    let path = request.uri().path().to_owned();
    let body = http::body(request).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let (total, faults) = execute(&state, &text);
    tokio::time::sleep(faults.delay).await;
    if faults.lose_answers > 0 {
        return Err(std::io::Error::other("answer lost"));
    }
    if faults.cut_answers > 0 {
        return Ok(truncated_response());
    }
    Ok(http::json(
        &json!({"path": path, "echo": text, "number": total}),
    ))
}

/// Returns a response whose connection is closed in the middle of its body.
fn truncated_response() -> Response<Body> {
    let parts = stream::unfold(0, |part| async move {
        if part == 0 {
            return Some((Ok(Frame::data(Bytes::from_static(b"{\"echo\":"))), 1));
        }
        // Leaves time for the first part to be written.
        tokio::time::sleep(Duration::from_millis(50)).await;
        Some((Err(std::io::Error::other("cut")), 1))
    });
    Response::new(StreamBody::new(parts).boxed_unsync())
}

fn execute(state: &Mutex<State>, text: &str) -> (u64, Faults) {
    let mut state = state.lock().expect("no holder panics");
    state.total += 1;
    *state.executions.entry(text.to_owned()).or_default() += 1;
    let faults = state.faults.clone();
    let lose = u32::from(faults.lose_answers > 0);
    let cut = u32::from(faults.cut_answers > 0);
    state.faults.lose_answers -= lose;
    state.faults.cut_answers -= cut;
    (state.total, faults)
}
