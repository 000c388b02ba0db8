//! HTTP routes of the admin port of a stand-in endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Json;
use ntex::web::types::State;
use store_wire::EmptyAnswer;

use crate::endpoint::faults::EndpointFaults;
use crate::endpoint::shared::EndpointShared;
use crate::endpoint::shared::lock;

type SharedState = State<Arc<EndpointShared>>;

/// Returns a function that adds the admin routes.
pub fn configure(shared: Arc<EndpointShared>) -> impl Fn(&mut ServiceConfig) + Clone + Send {
    move |config: &mut ServiceConfig| {
        config
            .state(Arc::clone(&shared))
            .route("/faults", web::get().to(faults))
            .route("/faults", web::put().to(set_faults))
            .route("/peers", web::put().to(set_peers))
            .route("/close", web::post().to(close))
            .route("/status", web::get().to(status))
            .route("/log", web::get().to(log))
            .route("/executed", web::get().to(executed))
            .route("/shown", web::get().to(shown))
            .route("/counters", web::get().to(counters));
    }
}

async fn faults(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&*shared.faults.borrow())
}

async fn set_faults(shared: SharedState, faults: Json<EndpointFaults>) -> HttpResponse {
    shared.set_faults(faults.into_inner());
    HttpResponse::Ok().json(&EmptyAnswer {})
}

async fn set_peers(shared: SharedState, peers: Json<Vec<SocketAddr>>) -> HttpResponse {
    shared.peers.send_replace(peers.into_inner());
    HttpResponse::Ok().json(&EmptyAnswer {})
}

async fn close(shared: SharedState) -> HttpResponse {
    shared.close_connections();
    HttpResponse::Ok().json(&EmptyAnswer {})
}

async fn status(shared: SharedState) -> HttpResponse {
    let report = shared.state().report(Instant::now());
    HttpResponse::Ok().json(&report)
}

async fn log(shared: SharedState) -> HttpResponse {
    let entries = shared.state().log().entries().to_vec();
    HttpResponse::Ok().json(&entries)
}

async fn executed(shared: SharedState) -> HttpResponse {
    let writes = shared.state().executed().to_vec();
    HttpResponse::Ok().json(&writes)
}

async fn shown(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&shared.received_credentials))
}

async fn counters(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&shared.counters))
}
