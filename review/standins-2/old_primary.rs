//! After the drill of the store, a front keeps using a primary that was replaced.

use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::record;
use crate::record::note;
use crate::world::DRAIN_TIME;
use crate::world::PRIMARY;
use crate::world::World;

pub fn play(trouble: bool) -> ! {
    let fronts = [
        ("front-a-1", "lagos-a"),
        ("front-a-2", "lagos-a"),
        ("front-b-1", "lagos-b"),
    ];
    let mut world = World::start(&[("folio", &["key-one"])], &fronts);
    let leader = world.await_leader();
    note(&format!("front {} leads", world.fronts[leader].name));
    let mut clients: Vec<Client> = world
        .fronts
        .iter()
        .map(|front| Client::open_soon(&front.name, front.address, PRIMARY, "key-one"))
        .collect();
    for client in &mut clients {
        client.request_until_served("WRITE page 0");
    }
    std::thread::sleep(Duration::from_secs(3));
    world.send_configurations(12, Duration::from_millis(330));
    if trouble {
        world
            .store
            .drill(Duration::from_secs(1), Duration::from_secs(5));
    }
    std::thread::sleep(Duration::from_secs(12));
    let old = world.group.primary();
    world
        .group
        .release(&old, DRAIN_TIME, Duration::from_secs(4));
    let end = Instant::now() + Duration::from_secs(14);
    let mut broken = Vec::new();
    let (mut value, mut writes, mut reads) = (0, 0, 0);
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(40));
        value += 1;
        // A commit through any front counts once it is acknowledged.
        let writer = value % clients.len();
        let written = clients[writer].request(&format!("WRITE page {value}"));
        if !written.as_ref().is_ok_and(|answer| answer.succeeded()) {
            if written.is_err() {
                let front = &world.fronts[writer];
                clients[writer] = Client::open_soon(&front.name, front.address, PRIMARY, "key-one");
            }
            continue;
        }
        writes += 1;
        for reader in 0..clients.len() {
            let read = clients[reader].request("READ page");
            let Ok(read) = read else {
                let front = &world.fronts[reader];
                clients[reader] = Client::open_soon(&front.name, front.address, PRIMARY, "key-one");
                continue;
            };
            if !read.succeeded() {
                continue;
            }
            reads += 1;
            let seen = read
                .rows
                .first()
                .and_then(|row| row.parse().ok())
                .unwrap_or(0);
            if seen < value {
                let front = &world.fronts[reader].name;
                broken.push(format!(
                    "read {} through {front} returned {seen} after the commit of {value} was acknowledged",
                    read.id
                ));
            }
        }
    }
    note(&format!("{writes} acknowledged writes, {reads} reads"));
    if writes < 20 || reads < 60 {
        record::give_up("too little was served");
    }
    drop(world);
    record::finish(&broken)
}
