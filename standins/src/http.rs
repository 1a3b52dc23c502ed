//! HTTP server helpers shared by the stand-ins.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use tokio::{net::TcpListener, task::JoinHandle};

/// Response body; an error in it closes the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running server; it stops on drop.
pub struct Server {
    /// Listening address.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves on `addr`; port 0 picks a free one.
///
/// # Panics
/// Panics if the address cannot be bound.
pub async fn serve<F, R>(addr: SocketAddr, handler: F) -> Server
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await.expect("bind the stand-in");
    let addr = listener.local_addr().expect("a bound address");
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(handler);
            connections.spawn(async move {
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Server { addr, task }
}

/// Returns a response with a complete body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|e: Infallible| match e {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns a JSON response with status 200.
pub fn json<T: serde::Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = answer(StatusCode::OK, text);
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Reads the complete body of a request.
pub async fn body(request: Request<Incoming>) -> Result<Bytes, std::io::Error> {
    let collected = request.into_body().collect().await;
    Ok(collected.map_err(std::io::Error::other)?.to_bytes())
}

/// Returns a decoded query parameter, as in `?after=name`.
pub fn query_text(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find_map(|(key, value)| (key == name).then(|| value.into_owned()))
}

/// Returns the decoded segments of a request's path.
pub fn path_segments(request: &Request<Incoming>) -> Vec<String> {
    let segments = request.uri().path().trim_start_matches('/').split('/');
    let decoded = segments.map(|segment| percent_decode_str(segment).decode_utf8_lossy());
    decoded.map(Into::into).collect()
}

/// Returns a query parameter as a number, as in `?after=7`.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    query_text(request, name)?.parse().ok()
}
