//! A stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Json,
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Change {
    revision: u64,
    kind: String,
    object: Json,
    is_deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

fn table(fields: Vec<(&str, Json)>) -> Json {
    Json::Table(fields.into_iter().map(|(n, v)| (n.to_owned(), v)).collect())
}

fn shown(name: &str, object: &Object) -> Json {
    table(vec![
        (
            "metadata",
            table(vec![
                ("name", text(name)),
                ("revision", number(object.revision)),
                ("created", number(object.created)),
                ("finalizers", Json::List(Vec::new())),
                ("deletionPending", Json::Bool(false)),
            ]),
        ),
        ("spec", object.spec.clone()),
        ("status", object.status.clone()),
    ])
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        let spec = spec
            .or(before.as_ref().map(|o| o.spec.clone()))
            .unwrap_or(Json::Null);
        let status = status
            .or(before.as_ref().map(|o| o.status.clone()))
            .unwrap_or(Json::Null);
        if let Some(before) = before
            .as_ref()
            .filter(|o| o.spec == spec && o.status == status)
        {
            return shown(name, before);
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: before.map_or(self.revision, |o| o.created),
            spec,
            status,
        };
        let json = shown(name, &object);
        self.objects.insert(key, object);
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object: json.clone(),
            is_deleted: false,
        });
        json
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object: shown(name, &object),
            is_deleted: true,
        });
        true
    }

    fn list(&self, kind: &str) -> Json {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items = of_kind.map(|((_, name), object)| shown(name, object));
        table(vec![
            ("items", Json::List(items.collect())),
            ("hasMore", Json::Bool(false)),
            ("timestamp", number(self.revision)),
        ])
    }

    fn changes(&self, kind: &str, since: u64) -> Vec<Json> {
        let changes = self
            .history
            .iter()
            .filter(|c| c.kind == kind && c.revision > since);
        let events = changes.map(|c| {
            table(vec![
                ("deleted", Json::Bool(c.is_deleted)),
                ("object", c.object.clone()),
            ])
        });
        events.collect()
    }
}

impl Store {
    pub fn start(ip: IpAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            addr: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the spec is JSON");
        self.state.lock().unwrap().put(kind, name, Some(spec), None);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(cloned) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(cloned);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json")];
            if http::write_answer(&mut stream, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        thread::sleep(ANSWER_TIME);
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('='));
            found
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
                .next()
        };
        let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
        let kind = parts[0];
        let name = parts.get(1).copied();
        match (request.method(), name) {
            ("GET", None) => match parameter("watch") {
                Some(since) => {
                    let wait_ms = parameter("waitMs")
                        .and_then(|ms| ms.parse().ok())
                        .unwrap_or(0);
                    self.watch(
                        kind,
                        since.parse().unwrap_or(0),
                        Duration::from_millis(wait_ms),
                    )
                }
                None => ("200 OK", self.state.lock().unwrap().list(kind).to_string()),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => ("200 OK", shown(name, object).to_string()),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("POST" | "PUT" | "DELETE", _) => {
                let answer = self.write(request, kind, name, parts.get(2) == Some(&"status"));
                self.changed.notify_all();
                answer
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.changes(kind, since);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = table(vec![
                    ("events", Json::List(events)),
                    ("timestamp", number(state.revision)),
                ]);
                return ("200 OK", answer.to_string());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        request: &Message,
        kind: &str,
        name: Option<&str>,
        is_status: bool,
    ) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body);
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let named = metadata.and_then(|m| m.get("name")).and_then(Json::text);
        let Some(name) = name.or(named).map(str::to_owned) else {
            return ("400 Bad Request", "{}".into());
        };
        let condition = metadata
            .and_then(|m| m.get("revision"))
            .and_then(Json::number);
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let is_creation = request.method() == "POST";
        match &known {
            Some(object) => {
                let other = condition.is_some_and(|c| c > 0 && c != object.revision);
                if is_creation || other {
                    return ("409 Conflict", shown(&name, object).to_string());
                }
            }
            None if !is_creation => return ("404 Not Found", "{}".into()),
            None => {}
        }
        if request.method() == "DELETE" {
            state.remove(kind, &name);
            return ("200 OK", "{}".into());
        }
        let (spec, status) = (body.get("spec").cloned(), body.get("status").cloned());
        let json = match is_status {
            true => state.put(kind, &name, None, status),
            false => state.put(kind, &name, spec, None),
        };
        ("200 OK", json.to_string())
    }
}
