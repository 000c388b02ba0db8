//! A value that is set inside a running transaction does not reach the backend.

use crate::client::Client;
use crate::record;
use crate::world::PRIMARY;
use crate::world::World;

pub fn play(trouble: bool) -> ! {
    let world = World::start(&[("folio", &["key-one"])], &[("front-a-1", "lagos-a")]);
    let front = &world.fronts[0];
    let mut client = Client::open_soon(&front.name, front.address, PRIMARY, "key-one");
    client.request_until_served("WRITE page 0");
    let mut broken = Vec::new();
    for number in 0..10 {
        let value = format!("v{number}");
        let set = format!("SET studio {value}");
        let mut ids = Vec::new();
        // Each statement is answered before the next one is sent.
        let mut ask = |statement: &str| match client.request(statement) {
            Ok(answer) if answer.succeeded() => ids.push((answer.id, statement.to_owned())),
            other => record::give_up(&format!("{statement}: {other:?}")),
        };
        if !trouble {
            ask(&set);
        }
        ask("BEGIN");
        ask("READ page");
        if trouble {
            ask(&set);
        }
        ask("READ page");
        ask(&format!("WRITE page {number}"));
        ask("COMMIT");
        let acknowledged = ids.iter().position(|(_, statement)| *statement == set);
        let after = ids.split_off(acknowledged.map_or(0, |at| at + 1));
        for run in world.group.runs() {
            let is_after = after.iter().any(|(id, _)| *id == run.id);
            if is_after && run.values.get("studio") != Some(&value) {
                broken.push(format!(
                    "{} {:?} ran with the values {:?} after {set} was acknowledged",
                    run.id, run.text, run.values
                ));
            }
        }
    }
    drop(world);
    record::finish(&broken)
}
