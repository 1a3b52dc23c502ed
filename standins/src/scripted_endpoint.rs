//! An endpoint all of whose answers a test gives as bytes. It lives on, however its connections end.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::{
    received_request::ReceivedRequest,
    scripted_answer::{ConnectionEnd, ScriptedAnswer},
};

/// Address of the endpoints, beside those of [`Runner`](crate::runner::Runner).
const HOST: [u8; 4] = [127, 1, 0, 3];

/// A running endpoint; it stops accepting connections on drop.
pub struct ScriptedEndpoint {
    /// Listening address.
    pub addr: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Drop for ScriptedEndpoint {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ScriptedEndpoint {
    /// Starts an endpoint on a free loopback port that sends these answers, to status checks and polls as well.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    pub async fn start(
        answers: impl Fn(&ReceivedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::from(HOST), 0)).await;
        let listener = listener.expect("a port");
        let addr = listener.local_addr().expect("a bound address");
        let answers = Arc::new(answers);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // An error means that the peer has left.
                tokio::spawn(serve(stream, answers.clone()));
            }
        });
        Self { addr, accepting }
    }

    /// Closes its port; open connections live on.
    pub fn stop_listening(&self) {
        self.accepting.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    answers: Arc<impl Fn(&ReceivedRequest) -> ScriptedAnswer>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(request) = ReceivedRequest::read(&mut stream).await? {
        let answer = answers(&request);
        answer.send(&mut stream).await?;
        if answer.end != ConnectionEnd::Kept {
            return answer.end.apply(stream).await;
        }
    }
    Ok(())
}
