//! After the drill of the store, fronts ignore a configuration that takes a key away.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::record;
use crate::record::note;
use crate::world::PRIMARY;
use crate::world::REVOKE_TIME;
use crate::world::World;

type Sent = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn play(trouble: bool) -> ! {
    let fronts = [
        ("front-a-1", "lagos-a"),
        ("front-a-2", "lagos-a"),
        ("front-b-1", "lagos-b"),
    ];
    let mut world = World::start(&[("folio", &["key-one", "key-two"])], &fronts);
    let sent: Sent = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = world
        .fronts
        .iter()
        .map(|front| {
            let (name, address) = (front.name.clone(), front.address);
            let (sent, stop) = (Arc::clone(&sent), Arc::clone(&stop));
            std::thread::spawn(move || read_on(&name, address, &sent, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    world.send_configurations(6, Duration::from_millis(660));
    if trouble {
        world
            .store
            .drill(Duration::from_secs(1), Duration::from_secs(5));
    }
    std::thread::sleep(Duration::from_secs(2));
    world.tenants = vec![("folio".to_owned(), vec!["key-one".to_owned()])];
    let confirmed_at = world.send_configuration();
    std::thread::sleep(REVOKE_TIME + Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for reader in readers {
        let _ = reader.join();
    }
    let ran: HashSet<String> = world.group.runs().into_iter().map(|run| run.id).collect();
    let mut broken = Vec::new();
    for (id, sent_at) in sent.lock().unwrap().iter() {
        let late = sent_at.saturating_duration_since(confirmed_at);
        if late > REVOKE_TIME && ran.contains(id) {
            let late = late.as_millis();
            broken.push(format!(
                "request {id} with the withdrawn key ran, sent {late} ms after the confirmation"
            ));
        }
    }
    let count = sent.lock().unwrap().len();
    note(&format!(
        "{count} requests with the key, {} of them ran",
        ran.len()
    ));
    drop(world);
    record::finish(&broken)
}

/// Reads with the key that is withdrawn later; opens a new session where one ends.
fn read_on(name: &str, address: SocketAddr, sent: &Sent, stop: &AtomicBool) {
    let mut client: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
        let Some(open) = &mut client else {
            client = Client::open(name, address, PRIMARY, "key-two").ok();
            continue;
        };
        match open.request("READ page") {
            Ok(answer) => {
                let sent_at = answer.sent_at.unwrap_or_else(Instant::now);
                sent.lock().unwrap().push((answer.id, sent_at));
            }
            Err(_) => client = None,
        }
    }
}
