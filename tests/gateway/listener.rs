//! Accepting connections when accepting fails, and when the listener stops.

use std::{
    future::{self, Future},
    pin::pin,
    time::Duration,
};

use ryevalve::{
    gateway::{
        caller_listener::{self, ListenerStop},
        state::Gateway,
    },
    listener,
    platform::headers::PlatformProtocol,
};
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::current_config::bounds;

/// A socket that does not listen fails each accept at once, as one of a process without free descriptors does.
fn failing_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_nonblocking(true).expect("non-blocking");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// A loop that accepts again at once uses a whole core.
#[tokio::test]
async fn failed_accepts_do_not_keep_the_process_busy() {
    const MAX_POLLS: usize = 100;
    let failing = failing_listener();
    assert!(failing.accept().await.is_err());
    let mut accepting = pin!(listener::accept(&failing));
    let mut polls = 0;
    let counted = future::poll_fn(|context| {
        polls += 1;
        accepting.as_mut().poll(context)
    });
    let accepted = time::timeout(Duration::from_millis(300), counted).await;
    assert!(accepted.is_err());
    assert!(polls <= MAX_POLLS, "{polls} polls");
}

/// All requests have arrived before the listener, which is to stop, accepts its first connection.
#[tokio::test]
async fn requests_that_have_arrived_when_the_listener_stops_are_answered() {
    const CALLERS: usize = 24;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(addr).await.expect("a connection");
        let request = b"GET /x HTTP/1.1\r\nhost: h.example\r\n\r\n";
        caller.write_all(request).await.expect("written");
        callers.push(caller);
    }
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds(true), true);
    let stop = ListenerStop::default();
    stop.connections.cancel();
    stop.accept.cancel();
    caller_listener::serve(gateway.into(), listener, 100, stop).await;
    let mut answered = 0;
    for mut caller in callers {
        let mut answer = Vec::new();
        // An error means that the connection was reset.
        let _ = caller.read_to_end(&mut answer).await;
        answered += usize::from(answer.starts_with(b"HTTP/1.1 "));
    }
    assert_eq!(answered, CALLERS);
}
