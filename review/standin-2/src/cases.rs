//! The cases. Each returns the number of requests that broke the rule.

mod failing;
mod heads;
mod interim;
mod moved_store;

use crate::site::Record;

/// Plays a case by its name.
pub fn play(case: &str, record: Record, is_troubled: bool) -> Result<usize, String> {
    record.write(&format!("case {case}, disruption: {is_troubled}"));
    match case {
        "moved-store" => moved_store::play(record, is_troubled),
        "interim" => interim::play(record, is_troubled),
        "heads" => heads::play(record, is_troubled),
        "failing" => failing::play(record, is_troubled),
        _ => Err(format!("no case {case}")),
    }
}

/// Returns a configuration with a public route `/cufi504/` of a service, and two routes that need a key, `/puxa403/`
/// that runs once and `/mino21/` that may be repeated.
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
    let routes = [
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
