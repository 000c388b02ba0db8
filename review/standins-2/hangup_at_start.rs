//! A front that gets SIGHUP directly after its start ends. No case of the review, as the time for it is
//! a few milliseconds.

use std::time::Duration;

use crate::record;
use crate::world::World;

pub fn play(trouble: bool) -> ! {
    let mut world = World::start(&[("folio", &["key-one"])], &[("front-a-1", "lagos-a")]);
    let mut broken = Vec::new();
    for round in 0..10 {
        world.fronts[0].restart_planned();
        if !trouble {
            world.fronts[0].await_ready();
        }
        world.fronts[0].signal("HUP");
        std::thread::sleep(Duration::from_millis(300));
        if let Some(status) = world.fronts[0].ended() {
            broken.push(format!("the front ended in round {round}: {status}"));
        }
    }
    drop(world);
    record::finish(&broken)
}
