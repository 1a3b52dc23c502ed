//! A loopback proxy for TCP that delays, slows, resets, silences or cuts one way what goes through it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::{self, Instant},
};

const BUFFER_BYTES: usize = 16 << 10;

/// What a proxy does to the bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on this much later.
    Delay(Duration),
    /// Passes answers on at this many bytes a second, of all connections together.
    Slow(u32),
    /// Holds them back, both ways, until the mode changes.
    Silent,
    /// Holds back only what comes from the target.
    NoAnswers,
    /// Resets all connections, also new ones.
    Reset,
}

/// A running proxy; it stops when this is dropped.
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy before `target` on a free loopback port.
    ///
    /// # Panics
    /// No port can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into(), target).await
    }

    /// Starts a proxy before `target` on a given loopback address.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub async fn start_at(addr: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).await.expect("bind the proxy");
        let addr = listener.local_addr().expect("a bound address");
        let (mode, modes) = watch::channel(Mode::Pass);
        let link = Link::default();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, modes.clone(), link.clone()));
            }
        });
        Self { addr, mode, task }
    }

    /// Sets what it does from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// What all connections share: when the bytes passed on so far are through.
#[derive(Clone, Default)]
struct Link {
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    /// Returns when `bytes` more are through at this rate.
    fn through_at(&self, bytes: usize, bytes_per_s: u32) -> Instant {
        let now = Instant::now();
        let takes = Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s.max(1)));
        let mut free_at = self.free_at.lock().expect("no holder panics");
        let through_at = free_at.unwrap_or(now).max(now) + takes;
        *free_at = Some(through_at);
        through_at
    }
}

async fn pass(source: TcpStream, target: SocketAddr, modes: watch::Receiver<Mode>, link: Link) {
    if *modes.borrow() == Mode::Reset {
        reset_on_drop(&source);
        return;
    }
    let Ok(onward) = TcpStream::connect(target).await else {
        reset_on_drop(&source);
        return;
    };
    for stream in [&source, &onward] {
        let _ = stream.set_nodelay(true);
    }
    let (from_source, to_source) = source.into_split();
    let (from_target, to_target) = onward.into_split();
    // Set by the direction that is reset: the other ends with it.
    let (broken, breaks) = watch::channel(false);
    let ends = || (modes.clone(), breaks.clone());
    let up = copy(from_source, to_target, ends(), &broken, None);
    let down = copy(from_target, to_source, ends(), &broken, Some(&link));
    tokio::join!(up, down);
}

/// A connection that is dropped with a linger of zero is reset.
fn reset_on_drop(stream: &TcpStream) {
    // It can fail only where the connection has ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes one direction on: an end as an end, a reset as a reset. Answers come with their link.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (mut modes, mut breaks): (watch::Receiver<Mode>, watch::Receiver<bool>),
    broken: &watch::Sender<bool>,
    link: Option<&Link>,
) {
    let mut resets = modes.clone();
    let passing = pass_on(&mut from, &mut to, &mut modes, link);
    let is_whole = tokio::select! {
        is_whole = passing => is_whole,
        _ = resets.wait_for(|m| *m == Mode::Reset) => false,
        _ = breaks.wait_for(|is_broken| *is_broken) => false,
    };
    if !is_whole {
        broken.send_replace(true);
        reset_on_drop(from.as_ref());
        reset_on_drop(to.as_ref());
        // Else it would end the direction in an orderly way first.
        to.forget();
    }
}

/// Passes bytes on until the end; false if it was a reset.
async fn pass_on(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    modes: &mut watch::Receiver<Mode>,
    link: Option<&Link>,
) -> bool {
    let holds = |m: &Mode| *m == Mode::Silent || (link.is_some() && *m == Mode::NoAnswers);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if modes.wait_for(|m| !holds(m)).await.is_err() {
            return false;
        }
        let mode = *modes.borrow();
        match (mode, link, &read) {
            (Mode::Delay(delay), _, _) => time::sleep(delay).await,
            (Mode::Slow(bytes_per_s), Some(link), Ok(len)) => {
                time::sleep_until(link.through_at(*len, bytes_per_s)).await;
            }
            _ => {}
        }
        match read {
            Ok(0) => return to.shutdown().await.is_ok(),
            Ok(len) if to.write_all(&buffer[..len]).await.is_ok() => {}
            _ => return false,
        }
    }
}
