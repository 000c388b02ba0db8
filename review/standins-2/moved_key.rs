//! A key moves to another tenant while its client has an open transaction.

use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::record;
use crate::world::APPLY_TIME;
use crate::world::PRIMARY;
use crate::world::World;

pub fn play(trouble: bool) -> ! {
    let tenants: [(&str, &[&str]); 2] =
        [("folio", &["key-one", "key-two"]), ("menu", &["key-three"])];
    let mut world = World::start(&tenants, &[("front-a-1", "lagos-a")]);
    let front = &world.fronts[0];
    let mut client = Client::open_soon("one", front.address, PRIMARY, "key-two");
    client.request_until_served("WRITE page 0");
    let mut sent = Vec::new();
    let mut ask = |client: &mut Client, statement: &str| match client.request(statement) {
        Ok(answer) => sent.push((
            answer.id.clone(),
            answer.sent_at.unwrap_or_else(Instant::now),
        )),
        Err(error) => record::note(&format!("{statement}: {error}")),
    };
    ask(&mut client, "BEGIN");
    ask(&mut client, "READ page");
    let confirmed_at = if trouble {
        world.tenants = vec![
            ("folio".to_owned(), vec!["key-one".to_owned()]),
            (
                "menu".to_owned(),
                vec!["key-three".to_owned(), "key-two".to_owned()],
            ),
        ];
        world.send_configuration()
    } else {
        Instant::now()
    };
    // The pauses of the transaction are below TransactionIdleMs.
    for number in 0..8 {
        std::thread::sleep(Duration::from_millis(800));
        ask(&mut client, &format!("WRITE page {number}"));
    }
    ask(&mut client, "COMMIT");
    let mut broken = Vec::new();
    for run in world.group.runs() {
        let Some((_, sent_at)) = sent.iter().find(|(id, _)| *id == run.id) else {
            continue;
        };
        let late = sent_at.saturating_duration_since(confirmed_at);
        let holder = if trouble { "menu" } else { "folio" };
        if late > APPLY_TIME && run.tenant != holder {
            broken.push(format!(
                "{} {:?} ran for tenant {} {} ms after its key had moved to {holder}",
                run.id,
                run.text,
                run.tenant,
                late.as_millis()
            ));
        }
    }
    drop(world);
    record::finish(&broken)
}
