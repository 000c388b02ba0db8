//! After the drill of the store, a promotion is called for with a lower token than an earlier one.

use std::time::Duration;
use std::time::Instant;

use crate::record;
use crate::record::note;
use crate::world::DRAIN_TIME;
use crate::world::World;

pub fn play(trouble: bool) -> ! {
    let fronts = [
        ("front-a-1", "lagos-a"),
        ("front-b-1", "lagos-b"),
        ("front-c-1", "lagos-c"),
    ];
    let mut world = World::start(&[("folio", &["key-one"])], &fronts);
    let first = world.await_leader();
    std::thread::sleep(Duration::from_secs(3));
    let copied_at = Instant::now();
    world.send_configurations(12, Duration::from_millis(330));
    // The rolling restart begins with the front that leads.
    world.fronts[first].restart_planned();
    world.fronts[first].await_ready();
    let second = world.await_leader();
    note(&format!("{:?} leads", world.leader()));
    release(&world);
    if trouble {
        world
            .store
            .drill(Duration::from_secs(1), copied_at.elapsed());
    }
    std::thread::sleep(Duration::from_secs(4));
    // It goes on with the front that led before the drill.
    world.fronts[second].restart_planned();
    world.fronts[second].await_ready();
    world.await_leader();
    note(&format!("{:?} leads", world.leader()));
    std::thread::sleep(Duration::from_secs(6));
    release(&world);
    let mut broken = Vec::new();
    let mut highest = 0;
    for call in world.group.promotions() {
        if call.token < highest {
            broken.push(format!(
                "{} promoted {} of {} with token {} after token {highest}",
                call.holder, call.target, call.service, call.token
            ));
        }
        highest = highest.max(call.token);
    }
    if world.group.promotions().len() < 2 {
        record::give_up("there were fewer than two promotions");
    }
    drop(world);
    record::finish(&broken)
}

/// Replaces the primary, and waits until the promotion was called for and took effect.
fn release(world: &World) {
    let old = world.group.primary();
    let calls = world.group.promotions().len();
    world
        .group
        .release(&old, DRAIN_TIME, Duration::from_secs(1));
    let end = Instant::now() + Duration::from_secs(20);
    while world.group.promotions().len() == calls {
        if Instant::now() >= end {
            note("nobody replaced the primary");
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(1_200));
}
