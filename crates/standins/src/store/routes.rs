//! HTTP routes of a stand-in store.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Json;
use ntex::web::types::JsonConfig;
use ntex::web::types::Path;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use store_wire::CasAnswer;
use store_wire::CasRequest;
use store_wire::EmptyAnswer;
use store_wire::ErrorAnswer;
use store_wire::InstanceList;
use store_wire::LeaseAnswer;
use store_wire::LeaseRequest;
use store_wire::MAX_VALUE_BYTES;
use store_wire::WatchAnswer;

use crate::endpoint::shared::lock;
use crate::store::calls::CallKind;
use crate::store::faults::StoreFaults;
use crate::store::faults::StoreOutage;
use crate::store::shared::StoreShared;
use crate::store::state::CasRefusal;

const KEY_PATH: &str = "/v1/keys/";
/// Interval at which a waiting watch ends expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

type SharedState = State<Arc<StoreShared>>;

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct LapseQuery {
    lease: Option<String>,
}

/// Returns a function that adds the routes of the store and its admin routes.
pub fn configure(shared: Arc<StoreShared>) -> impl Fn(&mut ServiceConfig) + Clone + Send {
    move |config: &mut ServiceConfig| {
        config
            .state(Arc::clone(&shared))
            .state(JsonConfig::default().limit(2 * MAX_VALUE_BYTES))
            .route("/v1/keys/{key}*", web::get().to(get_key))
            .route("/v1/cas", web::post().to(compare_and_swap))
            .route("/v1/leases", web::post().to(grant_lease))
            .route("/v1/leases/{id}/renew", web::post().to(renew_lease))
            .route("/v1/leases/{id}", web::delete().to(revoke_lease))
            .route("/v1/watch", web::get().to(watch))
            .route("/v1/instances", web::get().to(instances))
            .route("/admin/faults", web::put().to(set_faults))
            .route("/admin/faults", web::get().to(faults))
            .route("/admin/lapse", web::post().to(lapse))
            .route("/admin/instances", web::put().to(set_instances))
            .route("/admin/calls", web::get().to(calls));
    }
}

/// Counts a call and applies the faults to it. Returns the error answer if the store is down, or
/// `None` if the call is to be served.
async fn admit(shared: &StoreShared, kind: CallKind) -> Option<HttpResponse> {
    lock(&shared.calls).count(kind);
    let faults = *shared.faults.borrow();
    if faults.slow_ms > 0 {
        ntex::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let outage = shared.faults.borrow().outage;
    if outage == StoreOutage::None {
        return None;
    }
    let mut changes = shared.faults.subscribe();
    let _ = changes.wait_for(|f| f.outage != StoreOutage::Silent).await;
    Some(error(
        StatusCode::SERVICE_UNAVAILABLE,
        "unavailable",
        "the store is down",
    ))
}

/// Returns the answer to a call that took effect, or one that breaks the connection if this answer is
/// to be lost.
fn answer_change(shared: &StoreShared, answer: HttpResponse) -> HttpResponse {
    if !shared.take_lost_answer() {
        return answer;
    }
    let broken = stream::iter([Err::<Bytes, _>(io::Error::from(
        io::ErrorKind::ConnectionAborted,
    ))]);
    HttpResponse::Ok().streaming(broken)
}

fn error(status: StatusCode, code: &str, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(&ErrorAnswer {
        code: code.to_owned(),
        message: message.to_owned(),
    })
}

fn lease_not_found() -> HttpResponse {
    error(StatusCode::NOT_FOUND, "lease_not_found", "no such lease")
}

async fn get_key(shared: SharedState, request: HttpRequest) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Get).await {
        return refusal;
    }
    // The router leaves some characters of its path parameters percent-encoded.
    let path = request.uri().path();
    let escaped = path.strip_prefix(KEY_PATH).unwrap_or(path);
    let key = percent_decode(escaped);
    match shared.update(|state| state.get(&key)) {
        Some(entry) => HttpResponse::Ok().json(&entry),
        None => error(StatusCode::NOT_FOUND, "key_not_found", "no such key"),
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = parse_hex_byte(tail).filter(|_| first == b'%');
        bytes.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn parse_hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

async fn compare_and_swap(shared: SharedState, request: Json<CasRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Cas).await {
        return refusal;
    }
    let request = request.into_inner();
    if request.value.len() > MAX_VALUE_BYTES {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return error(status, "value_too_large", "the value is too large");
    }
    match shared.update(|state| state.compare_and_swap(request)) {
        Ok(revision) => {
            let answer = HttpResponse::Ok().json(&CasAnswer { revision });
            answer_change(&shared, answer)
        }
        Err(CasRefusal::Conflict { revision }) => {
            HttpResponse::Conflict().json(&CasAnswer { revision })
        }
        Err(CasRefusal::LeaseNotFound) => lease_not_found(),
    }
}

async fn grant_lease(shared: SharedState, request: Json<LeaseRequest>) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Lease).await {
        return refusal;
    }
    let ttl = Duration::from_millis(request.ttl_ms);
    let lease = shared.update(|state| state.grant_lease(ttl, Instant::now()));
    answer_change(&shared, HttpResponse::Ok().json(&LeaseAnswer { lease }))
}

async fn renew_lease(shared: SharedState, path: Path<String>) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Renew).await {
        return refusal;
    }
    if shared.update(|state| state.renew_lease(&path, Instant::now())) {
        answer_change(&shared, HttpResponse::Ok().json(&EmptyAnswer {}))
    } else {
        lease_not_found()
    }
}

async fn revoke_lease(shared: SharedState, path: Path<String>) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Revoke).await {
        return refusal;
    }
    shared.update(|state| state.end_lease(&path));
    answer_change(&shared, HttpResponse::Ok().json(&EmptyAnswer {}))
}

async fn watch(shared: SharedState, query: Query<WatchQuery>) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Watch).await {
        return refusal;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let answer = shared.update(|state| WatchAnswer {
            revision: state.revision(),
            events: state.changes_after(&query.prefix, query.after),
        });
        let left = deadline.saturating_duration_since(Instant::now());
        if !answer.events.is_empty() || left.is_zero() {
            return match shared.faults.borrow().outage {
                StoreOutage::None => HttpResponse::Ok().json(&answer),
                _ => error(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "unavailable",
                    "the store is down",
                ),
            };
        }
        // Leases expire without a call, so a watch also checks for that at an interval.
        let _ = ntex::time::timeout(left.min(LEASE_CHECK_INTERVAL), changed.changed()).await;
    }
}

async fn instances(shared: SharedState) -> HttpResponse {
    if let Some(refusal) = admit(&shared, CallKind::Instances).await {
        return refusal;
    }
    HttpResponse::Ok().json(&*lock(&shared.instances))
}

async fn set_faults(shared: SharedState, faults: Json<StoreFaults>) -> HttpResponse {
    shared.faults.send_replace(faults.into_inner());
    HttpResponse::Ok().json(&EmptyAnswer {})
}

async fn faults(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&*shared.faults.borrow())
}

async fn lapse(shared: SharedState, query: Query<LapseQuery>) -> HttpResponse {
    shared.expire_leases(query.lease.as_deref());
    HttpResponse::Ok().json(&EmptyAnswer {})
}

async fn set_instances(shared: SharedState, list: Json<InstanceList>) -> HttpResponse {
    *lock(&shared.instances) = list.into_inner();
    HttpResponse::Ok().json(&EmptyAnswer {})
}

async fn calls(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&shared.calls))
}
