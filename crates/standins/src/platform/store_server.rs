//! Serves the store and the promotion service over HTTP.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::platform::platform_handle::PlatformShared;
use crate::platform::store_state::StoreFault;
use crate::platform::store_state::StoreState;
use crate::platform::store_state::StoredItem;

/// Pause between checks for changes during a watch.
const WATCH_PAUSE: Duration = Duration::from_millis(5);

/// Time after a promotion at which the former primary becomes a replica.
const FORMER_PRIMARY_TIME: Duration = Duration::from_millis(1_000);

/// Header that holds the era of the store.
const ERA_HEADER: &str = "store-era";

type Reply = (u16, Value);

/// Accepts HTTP connections until the listener fails.
pub async fn serve_platform(listener: TcpListener, shared: Arc<PlatformShared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(respond(request, &shared).await) }
            });
            // An error only means that the client closed its connection.
            let io = TokioIo::new(stream);
            http1::Builder::new()
                .serve_connection(io, service)
                .await
                .ok()
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    shared: &Arc<PlatformShared>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let query = parse_query(request.uri().query().unwrap_or_default());
    let header = |name: &str| {
        let value = request.headers().get(name);
        let value = value.and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let holder = header("Duty-Holder");
    let token = header("Fencing-Token").parse().unwrap_or(0);
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let fault = {
        let mut store = shared.store();
        store.calls += 1;
        store.expire();
        store.fault
    };
    let (status, answer) = if path == "/promotion" {
        promote(shared, &body, holder, token)
    } else {
        match fault {
            StoreFault::Busy => (503, json!({})),
            StoreFault::Silent => never_answer().await,
            StoreFault::None => call(shared, &path, &query, &body).await,
            StoreFault::AnswersLost => {
                let reply = call(shared, &path, &query, &body).await;
                match path == "/kv-txn" {
                    true => never_answer().await,
                    false => reply,
                }
            }
            StoreFault::ChangesLate(delay) if path == "/kv-txn" => {
                shared.store().late_changes += 1;
                let shared = Arc::clone(shared);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let mut store = shared.store();
                    store.expire();
                    apply_transaction(&mut store, &body);
                });
                never_answer().await
            }
            StoreFault::ChangesLate(_) => call(shared, &path, &query, &body).await,
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.to_string())));
    *response.status_mut() = status.try_into().unwrap_or_default();
    let era = shared.store().era;
    response.headers_mut().insert(ERA_HEADER, era.into());
    response
}

async fn never_answer() -> Reply {
    std::future::pending().await
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

async fn call(
    shared: &PlatformShared,
    path: &str,
    query: &HashMap<String, String>,
    body: &Value,
) -> Reply {
    let number = |name: &str| {
        query
            .get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    match path {
        "/kv-range" => range(&shared.store(), &prefix),
        "/kv-watch" => watch(shared, &prefix, number("after"), number("WaitMs")).await,
        "/kv-txn" => apply_transaction(&mut shared.store(), body),
        "/kv-lease" => {
            let length = Duration::from_millis(body["TtlMs"].as_u64().unwrap_or(1_000));
            let lease = shared.store().grant(length);
            (200, json!({"Lease": lease, "TtlMs": body["TtlMs"]}))
        }
        _ => match path.rsplit_once('/') {
            Some(("/kv-keep", lease)) => {
                let renewed = shared.store().renew(lease.parse().unwrap_or(0));
                (if renewed { 200 } else { 404 }, json!({"TtlMs": 1_000}))
            }
            Some(("/kv-lease-end", lease)) => {
                shared.store().end(lease.parse().unwrap_or(0));
                (200, json!({}))
            }
            _ => (404, json!({})),
        },
    }
}

fn item_value(key: &str, item: &StoredItem) -> Value {
    json!({"Key": key, "Value": STANDARD.encode(&item.value), "Revision": item.revision, "Lease": item.lease})
}

/// Returns the existing items that the preconditions of a transaction name.
fn conditional_items(store: &StoreState, body: &Value) -> Vec<Value> {
    let rows = body["Precondition"].as_array().into_iter().flatten();
    let keys = rows.filter_map(|row| row["Key"].as_str());
    keys.filter_map(|key| Some(item_value(key, store.items.get(key)?)))
        .collect()
}

fn range(store: &StoreState, prefix: &str) -> Reply {
    let items: Vec<Value> = store
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix))
        .map(|(key, item)| item_value(key, item))
        .collect();
    (
        200,
        json!({"items": items, "HasMore": false, "StoreRevision": store.revision}),
    )
}

async fn watch(shared: &PlatformShared, prefix: &str, after: u64, wait_ms: u64) -> Reply {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let mut store = shared.store();
            store.expire();
            if after < store.dropped || after > store.revision {
                return (410, json!({}));
            }
            let events: Vec<Value> = store
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.value {
                    Some(value) => json!({"Key": event.key, "Value": STANDARD.encode(value), "Revision": event.revision}),
                    None => json!({"Key": event.key, "Revision": event.revision, "Deleted": true}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                let revision = store.revision;
                return (200, json!({"events": events, "StoreRevision": revision}));
            }
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

fn apply_transaction(store: &mut StoreState, body: &Value) -> Reply {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    for row in rows("Precondition") {
        let key = row["Key"].as_str().unwrap_or_default();
        let revision = store.items.get(key).map_or(0, |item| item.revision);
        if revision != row["Revision"].as_u64().unwrap_or(0) {
            return (412, json!({"items": conditional_items(store, body)}));
        }
    }
    let puts = rows("Puts");
    if puts
        .iter()
        .any(|put| !store.has_lease(put["Lease"].as_u64().unwrap_or(0)))
    {
        return (404, json!({}));
    }
    for put in puts {
        let value = STANDARD.decode(put["Value"].as_str().unwrap_or_default());
        let key = put["Key"].as_str().unwrap_or_default();
        store.put(
            key,
            value.unwrap_or_default(),
            put["Lease"].as_u64().unwrap_or(0),
        );
    }
    for key in rows("Remove") {
        store.remove(key.as_str().unwrap_or_default());
    }
    (200, json!({"Revision": store.revision}))
}

fn promote(shared: &Arc<PlatformShared>, body: &Value, holder: String, token: u64) -> Reply {
    let target = body["Id"].as_str().unwrap_or_default().to_owned();
    let promotion_time = {
        let mut group = shared.group();
        let is_alive = group.endpoints.get(&target).is_some_and(|e| e.alive);
        if group.refuse_promotions || !is_alive {
            return (409, json!({}));
        }
        group.promotions.push((target.clone(), holder, token));
        if group.deafen_targets
            && let Some(endpoint) = group.endpoints.get_mut(&target)
        {
            endpoint.deaf = true;
        }
        group.promotions_under_way += 1;
        group.promotion_time
    };
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(promotion_time).await;
        {
            let mut group = shared.group();
            if group.deafen_targets
                && let Some(endpoint) = group.endpoints.get_mut(&target)
            {
                endpoint.deaf = false;
            }
            group.promotions_under_way -= 1;
            group.promote(&target);
        }
        shared.publish();
        tokio::time::sleep(FORMER_PRIMARY_TIME).await;
        shared.group().follow_newest();
        shared.publish();
    });
    (200, json!({}))
}
