//! A stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deletionPending\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and JSON of each event.
    events: Vec<(u64, String, String)>,
}

/// The objects, which may be served at several addresses.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// One address at which the store is served.
pub struct Door {
    pub addr: SocketAddr,
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Closes the address: open connections end, and new ones are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops its listener.
        let _ = TcpStream::connect(self.addr);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Store {
    /// Writes an object as its operator or runner does; returns once the store has taken it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.0 .0.lock().unwrap();
        let status = state.objects.get(&(kind.into(), name.into()));
        let status = status.map_or("null".to_owned(), |object| object.status.clone());
        state.write(kind, name, spec.to_owned(), status);
        drop(state);
        self.0 .1.notify_all();
    }

    /// Serves the store at a free port of an address.
    pub fn open(&self, ip: &str) -> io::Result<Door> {
        let listener = TcpListener::bind((ip, 0))?;
        let door = Door {
            addr: listener.local_addr()?,
            is_closed: Arc::default(),
            open: Arc::default(),
        };
        let (store, is_closed, open) = (self.clone(), door.is_closed.clone(), door.open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                open.lock().unwrap().extend(stream.try_clone());
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(door)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(call) = http::read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &http::Message) -> (u16, String) {
        let mut words = call.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let is_status = parts.next() == Some("status");
        let field = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        match (method, name, field("watch")) {
            ("GET", Some(name), _) => self.get(kind, name),
            ("GET", None, Some(since)) => self.watch(kind, since, field("waitMs").unwrap_or(0)),
            ("GET", None, None) => self.list(kind),
            ("POST" | "PUT", _, _) => self.write(method == "POST", kind, name, is_status, &call.body),
            _ => (400, "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.json(name)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind.map(|((_, n), o)| o.json(n)).collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"timestamp\":{}}}", state.revision))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0 .0.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|(r, k, _)| *r > since && k == kind);
            let events: Vec<&str> = events.map(|(_, _, json)| json.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"timestamp\":{}}}", state.revision));
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, creates: bool, kind: &str, name: Option<&str>, is_status: bool, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let metadata = http::json_value(&text, "metadata").unwrap_or("{}");
        let given = http::json_value(metadata, "name").unwrap_or("\"\"").trim_matches('"');
        let name = name.unwrap_or(given);
        let revision = http::json_value(metadata, "revision").and_then(|r| r.parse::<u64>().ok());
        let spec = http::json_value(&text, "spec").unwrap_or("null").to_owned();
        let status = http::json_value(&text, "status").unwrap_or("null").to_owned();
        let mut state = self.0 .0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let written = match known {
            Some(known) if creates || revision.is_some_and(|r| r > 0 && r != known.revision) => {
                return (409, known.json(name));
            }
            None if !creates => return (404, "{}".to_owned()),
            Some(known) if is_status => state.write(kind, name, known.spec, status),
            Some(known) => state.write(kind, name, spec, known.status),
            None => state.write(kind, name, spec, "null".to_owned()),
        };
        drop(state);
        self.0 .1.notify_all();
        (200, written)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: String, status: String) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object { revision: self.revision, created, spec, status };
        let json = object.json(name);
        self.objects.insert(key, object);
        let event = format!("{{\"object\":{json},\"deleted\":false}}");
        self.events.push((self.revision, kind.to_owned(), event));
        json
    }
}
