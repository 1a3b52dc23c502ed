//! Stand-in for the platform's metadata store: lists, watches and conditional writes over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    /// The objects as JSON, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// The revision, kind and JSON of each event.
    history: Vec<(u64, String, String)>,
}

impl State {
    fn set(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let revision = self.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deletionPending":false}},"spec":{spec},"status":null}}"#
        );
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, (revision, object.clone()));
        let event = format!(r#"{{"deleted":false,"object":{object}}}"#);
        self.history.push((revision, kind.to_owned(), event));
        object
    }

    fn get(&self, kind: &str, name: &str) -> Option<&(u64, String)> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn events(&self, kind: &str, after: u64) -> Vec<&str> {
        let history = self.history.iter();
        let new = history.filter(|(revision, k, _)| *revision > after && k == kind);
        new.map(|(_, _, event)| &**event).collect()
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Its address.
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object, as operators and servers do.
    pub fn set(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().set(kind, name, spec);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (status, text) = self.answer(&head.first_line, &String::from_utf8_lossy(&body));
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}"
            );
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, first_line: &str, body: &str) -> (u16, String) {
        let mut words = first_line.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        match (method, name) {
            ("GET", Some(name)) => match self.shared.0.lock().unwrap().get(kind, name) {
                Some((_, object)) => (200, object.clone()),
                None => (404, "{}".into()),
            },
            ("GET", None) => match http::query(query, "watch") {
                Some(after) => (200, self.watch(kind, after, query)),
                None => (200, self.list(kind)),
            },
            ("POST" | "PUT", _) => self.write(method, kind, body),
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&str> = of_kind.map(|(_, (_, object))| &**object).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"hasMore":false,"timestamp":{revision}}}"#)
    }

    fn watch(&self, kind: &str, after: u64, query: &str) -> String {
        let wait = Duration::from_millis(http::query(query, "waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let events = state.events(kind, after);
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"timestamp":{revision}}}"#);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, method: &str, kind: &str, body: &str) -> (u16, String) {
        let metadata = http::json_field(body, "metadata").unwrap_or("{}");
        let name = http::json_field(metadata, "name").unwrap_or("\"\"");
        let name = name.trim_matches('"').to_owned();
        let wanted = http::json_field(metadata, "revision").and_then(|r| r.parse::<u64>().ok());
        let spec = http::json_field(body, "spec").unwrap_or("null").to_owned();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let known = state.get(kind, &name).cloned();
        match (method, known) {
            ("POST", Some((_, object))) => (409, object),
            ("PUT", None) => (404, "{}".into()),
            ("PUT", Some((revision, object)))
                if wanted.is_some_and(|wanted| wanted != 0 && wanted != revision) =>
            {
                (409, object)
            }
            _ => {
                let object = state.set(kind, &name, &spec);
                changed.notify_all();
                (200, object)
            }
        }
    }
}
