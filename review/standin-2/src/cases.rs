//! The cases. Each returns the number of requests that broke the rule.

mod failing;
mod interim;
mod memory;
mod moved_store;
mod streams;

use crate::site::Record;

/// Plays a case by its name.
pub fn play(case: &str, record: Record, is_troubled: bool) -> Result<usize, String> {
    record.write(&format!("case {case}, disruption: {is_troubled}"));
    match case {
        "moved-store" => moved_store::play(record, is_troubled),
        "interim" => interim::play(record, is_troubled),
        "memory" => memory::play(record, is_troubled),
        "streams" => streams::play(record, is_troubled),
        "failing" => failing::play(record, is_troubled),
        _ => Err(format!("no case {case}")),
    }
}

/// Returns a configuration with a public route `/cufi504/` of a service, and routes that need a key: `/puxa403/` runs once,
/// `/mino21/` may be repeated, and the streams of `/lohu930/` may be resumed.
pub fn config(version: u64, public_service: &str, max_header_bytes: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, public: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"backend\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":{public},\"sessionAffinity\":false,\"streamResume\":false}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthCheck\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let stream = "{\"name\":\"r-lohu930\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\
        \"type\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":1200,\"priority\":0,\"backend\":\"wuno96b\",\
        \"maxAttempts\":2,\"public\":false,\"sessionAffinity\":true,\"streamResume\":true,\"targetGapMs\":600}";
    let routes = [
        stream.to_owned(),
        route("cufi504", "idempotent", public_service, 2, true),
        route("mino21", "idempotent", "wuno96b", 2, false),
        route("puxa403", "non_idempotent", "wuno96b", 1, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{},{}],\"limits\":{{\"maxHeaderBytes\":{max_header_bytes},\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"apiKeys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        service("wuno96b"),
        service("lehu44b"),
        crate::site::KEY,
    )
}
