//! TCP proxy on loopback that can delay, throttle, reset or hold back traffic, in both directions or in one.

use std::{
    collections::HashSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
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

/// Effect of a proxy on its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards traffic unchanged.
    #[default]
    Pass,
    /// Delays each read by this time before forwarding it.
    Delay(Duration),
    /// Limits responses to this many bytes per second over all connections.
    Slow(u32),
    /// Holds back traffic in both directions until the mode changes.
    Silent,
    /// Holds back only the traffic from the target.
    NoAnswers,
    /// Resets all connections, including new ones.
    Reset,
    /// Resets all connections and refuses new ones.
    Refuse,
    /// Refuses new connections; open ones live on.
    RefuseNew,
    /// Drops all packets: connects get no answer, and traffic of open connections is held back.
    Unreachable,
}

impl Mode {
    fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::Refuse)
    }

    fn refuses(self) -> bool {
        matches!(self, Self::Refuse | Self::RefuseNew)
    }
}

/// A running proxy; it stops on drop.
pub struct Proxy {
    /// Listening address.
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
    cut_sources: watch::Sender<HashSet<Ipv4Addr>>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free loopback port.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into(), target).await
    }

    /// Starts a proxy in front of `target` on a given loopback address.
    ///
    /// # Panics
    /// Panics if the address cannot be bound.
    pub async fn start_at(addr: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).await.expect("bind the proxy");
        let addr = listener.local_addr().expect("a bound address");
        let (mode, modes) = watch::channel(Mode::Pass);
        let (cut_sources, cuts) = watch::channel(HashSet::new());
        let link = Link::default();
        let task = tokio::spawn(async move {
            let mut listener = listener;
            loop {
                accept(listener, target, modes.clone(), cuts.clone(), &link).await;
                if modes.clone().wait_for(|m| !m.refuses()).await.is_err() {
                    return;
                }
                listener = TcpListener::bind(addr).await.expect("the port is free");
            }
        });
        Self {
            addr,
            mode,
            cut_sources,
            task,
        }
    }

    /// Cuts the link from a source, or ends the cut: its new connections get no answer, and its open ones are silent and
    /// then reset.
    pub fn cut_source(&self, source: Ipv4Addr, is_cut: bool) {
        self.cut_sources.send_modify(|sources| {
            match is_cut {
                true => sources.insert(source),
                false => sources.remove(&source),
            };
        });
    }

    /// Sets the mode, which applies to open connections, too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Shared bandwidth limit: the time at which the link has sent all bytes so far.
#[derive(Clone, Default)]
struct Link {
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    /// Adds `bytes` to the link and returns when they have been sent at this rate.
    fn sent_at(&self, bytes: usize, bytes_per_s: u32) -> Instant {
        let now = Instant::now();
        let duration = Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s.max(1)));
        let mut free_at = self.free_at.lock().expect("no holder panics");
        let sent_at = free_at.unwrap_or(now).max(now) + duration;
        *free_at = Some(sent_at);
        sent_at
    }
}

/// Accepts connections until the mode refuses them, or the proxy is dropped.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut modes: watch::Receiver<Mode>,
    mut cuts: watch::Receiver<HashSet<Ipv4Addr>>,
    link: &Link,
) {
    loop {
        let mode = *modes.borrow_and_update();
        if mode.refuses() {
            return;
        }
        let cut_sources = cuts.borrow_and_update().clone();
        drop_packets(&listener, mode == Mode::Unreachable, &cut_sources);
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, from)) = accepted else { continue };
                let connection = proxy_connection(stream, target, modes.clone(), link.clone());
                tokio::spawn(end_with_cut(connection, from.ip(), cuts.clone()));
            }
            changed = modes.changed() => if changed.is_err() {
                return;
            },
            changed = cuts.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Runs a connection until it ends, or is dropped because its source was cut off for a while.
async fn end_with_cut(
    connection: impl Future<Output = ()>,
    from: IpAddr,
    mut cuts: watch::Receiver<HashSet<Ipv4Addr>>,
) {
    let is_cut = move |sources: &HashSet<Ipv4Addr>| match from {
        IpAddr::V4(from) => sources.contains(&from),
        IpAddr::V6(_) => false,
    };
    tokio::pin!(connection);
    let was_cut = {
        let mut cut_off = cuts.clone();
        tokio::select! {
            () = &mut connection => false,
            result = cut_off.wait_for(is_cut) => result.is_ok(),
        }
    };
    if was_cut {
        // While it is cut off, nothing is forwarded. An error means that the proxy was dropped.
        let _ = cuts.wait_for(|sources| !is_cut(sources)).await;
    }
}

/// Lets the kernel drop packets to a listener, all or those of some sources, or stop to: connects to it then get no
/// answer.
fn drop_packets(listener: &TcpListener, drops_all: bool, sources: &HashSet<Ipv4Addr>) {
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN_CONSTANT: u16 = 0x06;
    /// Offset of the source in the IP header, as the kernel addresses that header.
    const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;
    let socket = socket2::SockRef::from(listener);
    if !drops_all && sources.is_empty() {
        // This fails if there is no filter.
        let _ = socket.detach_filter();
        return;
    }
    let drop_packet = || socket2::SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    let mut filter = Vec::new();
    if !drops_all {
        filter.push(socket2::SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET));
        for source in sources {
            let source = u32::from(*source);
            filter.push(socket2::SockFilter::new(JUMP_IF_EQUAL, 0, 1, source));
            filter.push(drop_packet());
        }
        filter.push(socket2::SockFilter::new(RETURN_CONSTANT, 0, 0, u32::MAX));
    }
    filter.push(drop_packet());
    socket.attach_filter(&filter).expect("attach a filter");
}

async fn proxy_connection(
    source: TcpStream,
    target: SocketAddr,
    modes: watch::Receiver<Mode>,
    link: Link,
) {
    if modes.borrow().resets() {
        reset_on_drop(&source);
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        reset_on_drop(&source);
        return;
    };
    for stream in [&source, &upstream] {
        let _ = stream.set_nodelay(true);
    }
    let (from_source, to_source) = source.into_split();
    let (from_target, to_target) = upstream.into_split();
    // Set by the direction that is reset, so that the other one ends, too.
    let (broken, broken_receiver) = watch::channel(false);
    let receivers = || (modes.clone(), broken_receiver.clone());
    let up = forward(from_source, to_target, receivers(), &broken, None);
    let down = forward(from_target, to_source, receivers(), &broken, Some(&link));
    tokio::join!(up, down);
}

/// Sets zero linger, so that the drop of the connection resets it.
fn reset_on_drop(stream: &TcpStream) {
    // This fails only if the connection has already ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction, with its end or reset. `link` is given for the direction of the responses.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (mut modes, mut broken_receiver): (watch::Receiver<Mode>, watch::Receiver<bool>),
    broken: &watch::Sender<bool>,
    link: Option<&Link>,
) {
    let mut resets = modes.clone();
    let forwarding = forward_bytes(&mut from, &mut to, &mut modes, link);
    let is_whole = tokio::select! {
        is_whole = forwarding => is_whole,
        _ = resets.wait_for(|m| m.resets()) => false,
        _ = broken_receiver.wait_for(|is_broken| *is_broken) => false,
    };
    if !is_whole {
        broken.send_replace(true);
        reset_on_drop(from.as_ref());
        reset_on_drop(to.as_ref());
        // Without this, the drop of the write half would first shut the direction down cleanly.
        to.forget();
    }
}

/// Forwards bytes until the end of the stream; returns false if the stream was reset.
async fn forward_bytes(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    modes: &mut watch::Receiver<Mode>,
    link: Option<&Link>,
) -> bool {
    let is_held = |m: &Mode| {
        matches!(m, Mode::Silent | Mode::Unreachable) || (link.is_some() && *m == Mode::NoAnswers)
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if modes.wait_for(|m| !is_held(m)).await.is_err() {
            return false;
        }
        let mode = *modes.borrow();
        match (mode, link, &read) {
            (Mode::Delay(delay), _, _) => time::sleep(delay).await,
            (Mode::Slow(bytes_per_s), Some(link), Ok(len)) => {
                time::sleep_until(link.sent_at(*len, bytes_per_s)).await;
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
