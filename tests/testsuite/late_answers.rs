//! Guards against answers that reach the caller of another statement.
//!
//! Messages on a connection carry no id of their statement, and an endpoint may send them twice, the
//! second time at any later moment.

use std::time::Duration;

use tamaracklb::connection::endpoint_link;
use tamaracklb::connection::wire_frame;
use tamaracklb::process::endpoint_control::ControlTarget;
use tamaracklb::process::endpoint_control::EndpointControl;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::version::secret_text::SecretText;

use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;
use crate::raw_caller::RawCaller;
use crate::scripted_endpoint::AnswerRepeat;
use crate::scripted_endpoint::RepeatTime;
use crate::scripted_endpoint::RepeatedPart;
use crate::scripted_endpoint::ScriptedEndpoint;

const TIMES: [RepeatTime; 5] = [
    RepeatTime::AtOnce,
    RepeatTime::BeforeAny,
    RepeatTime::BeforeNext,
    RepeatTime::AfterNext,
    RepeatTime::Idle,
];
const PARTS: [RepeatedPart; 5] = [
    RepeatedPart::Whole,
    RepeatedPart::Kind(b'T'),
    RepeatedPart::Kind(b'D'),
    RepeatedPart::Kind(b'C'),
    RepeatedPart::Kind(b'Z'),
];
/// Longer than the time after which a scripted endpoint sends the copy of an idle connection.
const IDLE_TIME: Duration = Duration::from_millis(60);

/// A copy that both scripted endpoints send of the next answer to a statement with a text.
struct CopyCase {
    fixture: CallerFixture,
    name: String,
    time: RepeatTime,
    faults: Vec<String>,
}

/// What a caller received up to ReadyForQuery.
#[derive(Debug, Default, PartialEq, Eq)]
struct CallerReply {
    rows: Vec<String>,
    tags: Vec<String>,
    errors: Vec<String>,
    promises_not_run: bool,
    /// Whether the connection was closed, which rolls an open transaction back.
    closed: bool,
    state: u8,
}

async fn ask(caller: &mut RawCaller, query: &str) -> CallerReply {
    caller.send_query(query).await;
    let mut reply = CallerReply::default();
    loop {
        let receiving = tokio::time::timeout(Duration::from_secs(5), caller.recv());
        let Ok(received) = receiving.await else {
            reply.errors.push("no answer".to_owned());
            return reply;
        };
        let Some(frame) = received else {
            reply.closed = true;
            return reply;
        };
        let text = String::from_utf8_lossy(frame.body()).into_owned();
        match frame.kind() {
            b'D' => {
                let row = wire_frame::read_row(frame.body()).expect("row");
                reply.rows.push(row[0].unwrap_or_default().to_owned());
            }
            b'C' => reply.tags.push(text.trim_end_matches('\0').to_owned()),
            b'E' => {
                let sqlstate = endpoint_link::read_sqlstate(&frame).unwrap_or_default();
                reply.errors.push(sqlstate.to_owned());
                reply.promises_not_run |= text.contains("not run");
            }
            b'Z' => {
                reply.state = frame.body()[0];
                return reply;
            }
            _ => {}
        }
    }
}

impl CopyCase {
    async fn start(statement: &str, part: RepeatedPart, time: RepeatTime) -> Self {
        let fixture = CallerFixture::start().await;
        for script in [&fixture.primary, &fixture.replica] {
            *script.repeat.lock().expect("lock") = Some(AnswerRepeat {
                statement: statement.to_owned(),
                part,
                time,
            });
        }
        Self {
            fixture,
            name: format!("{statement}, {part:?} {time:?}"),
            time,
            faults: Vec::new(),
        }
    }

    /// Runs a statement and records a fault if the reply is neither its own nor an unknown outcome.
    ///
    /// Returns whether it got its own answer.
    async fn check(&mut self, caller: &mut RawCaller, query: &str, tag: &str, state: u8) -> bool {
        if self.time == RepeatTime::Idle {
            tokio::time::sleep(IDLE_TIME).await;
        }
        let reply = ask(caller, query).await;
        let ran = self.count_runs(query);
        let mut own = CallerReply {
            state,
            ..CallerReply::default()
        };
        if tag.starts_with(char::is_numeric) {
            own.errors.push(tag.to_owned());
        } else {
            own.tags.push(tag.to_owned());
        }
        if tag == "SELECT 1" {
            own.rows.push(query.to_owned());
        }
        let is_unknown =
            reply.errors == ["40003"] && reply.tags.is_empty() && reply.rows.is_empty();
        let is_own = reply == own;
        let pure = tag == "SELECT 1";
        if !(is_own || is_unknown)
            || (is_own && ran == 0)
            || (ran > 1 && !pure)
            || (reply.promises_not_run && ran > 0)
        {
            self.faults.push(format!(
                "{}: {query} ran {ran} times, got {reply:?}",
                self.name
            ));
        }
        is_own
    }

    fn count_runs(&self, query: &str) -> usize {
        let scripts = [&self.fixture.primary, &self.fixture.replica];
        let statements = scripts.iter().flat_map(|script| script.statements());
        statements.filter(|statement| statement == query).count()
    }
}

fn assert_none(faults: &[String]) {
    assert!(
        faults.is_empty(),
        "{} faults:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

/// A copy of a read's answer must not reach the next caller of its connection.
#[tokio::test]
async fn copied_reads_stay_apart() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in PARTS {
            let mut case = CopyCase::start("echo 1", part, time).await;
            let mut first = RawCaller::start(&case.fixture).await;
            let mut second = RawCaller::start(&case.fixture).await;
            case.check(&mut first, "SELECT 'echo 1'", "SELECT 1", b'I')
                .await;
            case.check(&mut second, "SELECT 'echo 2'", "SELECT 1", b'I')
                .await;
            case.check(&mut first, "SELECT 'echo 3'", "SELECT 1", b'I')
                .await;
            case.check(&mut second, "INSERT echo 4", "INSERT 0 1", b'I')
                .await;
            let counted = case.fixture.state.unexpected.lock().expect("lock").len();
            if part == RepeatedPart::Whole && counted == 0 {
                faults.push(format!("{}: not counted", case.name));
            }
            faults.append(&mut case.faults);
        }
    }
    assert_none(&faults);
}

/// A copy of a write's answer must not acknowledge another write.
#[tokio::test]
async fn copied_writes_stay_apart() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in PARTS {
            let mut case = CopyCase::start("echo 1", part, time).await;
            let mut first = RawCaller::start(&case.fixture).await;
            let mut second = RawCaller::start(&case.fixture).await;
            case.check(&mut first, "INSERT echo 1", "INSERT 0 1", b'I')
                .await;
            case.check(&mut second, "UPDATE echo 2", "UPDATE", b'I')
                .await;
            case.check(&mut first, "FAIL echo 3", "22012", b'I').await;
            case.check(&mut second, "INSERT echo 4", "INSERT 0 1", b'I')
                .await;
            faults.append(&mut case.faults);
        }
    }
    assert_none(&faults);
}

/// A copy must not be taken for the answer of another statement of the same transaction, and a
/// transaction whose connection is in doubt must not be reported as committed.
#[tokio::test]
async fn copied_steps_stay_apart() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in PARTS {
            for copied in ["BEGIN", "echo 1", "echo 2", "echo 3", "COMMIT"] {
                let mut case = CopyCase::start(copied, part, time).await;
                let mut caller = RawCaller::start(&case.fixture).await;
                let steps = [
                    ("BEGIN", "BEGIN", b'T'),
                    ("SELECT 'echo 1'", "SELECT 1", b'T'),
                    ("INSERT echo 2", "INSERT 0 1", b'T'),
                    ("SELECT 'echo 3'", "SELECT 1", b'T'),
                    ("COMMIT", "COMMIT", b'I'),
                    ("UPDATE echo 4", "UPDATE", b'I'),
                ];
                for (query, tag, state) in steps {
                    if !case.check(&mut caller, query, tag, state).await {
                        break;
                    }
                }
                faults.append(&mut case.faults);
            }
        }
    }
    assert_none(&faults);
}

/// A copy of a refusal must not be taken for the refusal of a statement that ran, in or outside a
/// transaction.
#[tokio::test]
async fn copied_errors_stay_apart() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in [
            RepeatedPart::Whole,
            RepeatedPart::Kind(b'E'),
            RepeatedPart::Kind(b'Z'),
        ] {
            let mut case = CopyCase::start("echo 1", part, time).await;
            let mut caller = RawCaller::start(&case.fixture).await;
            case.check(&mut caller, "FAIL echo 1", "22012", b'I').await;
            case.check(&mut caller, "INSERT echo 2", "INSERT 0 1", b'I')
                .await;
            case.check(&mut caller, "SELECT 'echo 3'", "SELECT 1", b'I')
                .await;
            faults.append(&mut case.faults);

            let mut case = CopyCase::start("echo 5", part, time).await;
            let mut caller = RawCaller::start(&case.fixture).await;
            let steps = [
                ("BEGIN", "BEGIN", b'T'),
                ("FAIL echo 5", "22012", b'E'),
                ("SELECT 'echo 6'", "25P02", b'E'),
                ("ROLLBACK", "ROLLBACK", b'I'),
                ("INSERT echo 7", "INSERT 0 1", b'I'),
            ];
            for (query, tag, state) in steps {
                if !case.check(&mut caller, query, tag, state).await {
                    break;
                }
            }
            faults.append(&mut case.faults);
        }
    }
    assert_none(&faults);
}

/// A copy of a status report must not prove a commit: it names an earlier position.
#[tokio::test]
async fn copied_report_proves_nothing() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in PARTS {
            let mut case = CopyCase::start("platform_status", part, time).await;
            let mut caller = RawCaller::start(&case.fixture).await;
            // Positions that the endpoint reached with the acknowledged writes.
            let mut acknowledged = Vec::new();
            for number in 1..=4 {
                let query = format!("INSERT echo {number}");
                if case.check(&mut caller, &query, "INSERT 0 1", b'I').await {
                    let writes = case.fixture.primary.statements().len();
                    acknowledged.push(LogPoint::new(1, writes as u64));
                }
            }
            let confirmed = case.fixture.state.confirmed.lock().expect("lock").clone();
            if confirmed != acknowledged {
                let name = &case.name;
                let fault = format!("{name}: acknowledged {acknowledged:?} on {confirmed:?}");
                case.faults.push(fault);
            }
            faults.append(&mut case.faults);
        }
    }
    assert_none(&faults);
}

/// A copy of an answer in the extended protocol must not reach another session's statement.
#[tokio::test]
async fn copied_batches_stay_apart() {
    let mut faults = Vec::new();
    let kinds = PARTS
        .into_iter()
        .chain([b'1', b'2', b'n'].map(RepeatedPart::Kind));
    for part in kinds {
        for time in TIMES {
            let case = CopyCase::start("echo 0", part, time).await;
            let clients = [case.fixture.connect().await, case.fixture.connect().await];
            let mut statements = Vec::new();
            for number in 0..=4 {
                let query = format!("SELECT 'echo {number}'");
                statements.push(clients[number % 2].prepare(&query).await.expect("prepare"));
            }
            for number in 0..=4 {
                if time == RepeatTime::Idle {
                    tokio::time::sleep(IDLE_TIME).await;
                }
                let query = format!("SELECT 'echo {number}'");
                let answer = clients[number % 2].query(&statements[number], &[]).await;
                let values = answer.map(|rows| {
                    let values = rows.iter().map(|row| row.get::<_, String>(0));
                    values.collect::<Vec<_>>()
                });
                match values {
                    Ok(values) if values == [query.clone()] => {}
                    Err(error) if sqlstate(&error) == "40003" => {}
                    other => faults.push(format!("{}: {query} got {other:?}", case.name)),
                }
            }
        }
    }
    assert_none(&faults);
}

/// A copy of the answer to a replayed setting must not be taken for a caller's answer.
#[tokio::test]
async fn copied_settings_stay_apart() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in PARTS {
            let mut case = CopyCase::start("work_mem", part, time).await;
            let mut first = RawCaller::start(&case.fixture).await;
            let mut second = RawCaller::start(&case.fixture).await;
            ask(&mut first, "SET work_mem = '1MB'").await;
            case.check(&mut second, "UPDATE echo 1", "UPDATE", b'I')
                .await;
            case.check(&mut first, "INSERT echo 2", "INSERT 0 1", b'I')
                .await;
            case.check(&mut second, "UPDATE echo 3", "UPDATE", b'I')
                .await;
            case.check(&mut first, "SELECT 'echo 4'", "SELECT 1", b'I')
                .await;
            faults.append(&mut case.faults);
        }
    }
    assert_none(&faults);
}

/// A copy of an earlier status report must not be taken for the present status of an endpoint,
/// which decides on confirmation and failover.
#[tokio::test]
async fn copied_control_report_is_rejected() {
    let mut faults = Vec::new();
    for time in TIMES {
        for part in PARTS {
            let endpoint = ScriptedEndpoint::start().await;
            let control = EndpointControl::new(ControlTarget {
                address: endpoint.address,
                database: "studio".to_owned(),
                user: "instance".to_owned(),
                password: SecretText::new("instance-password"),
            });
            *endpoint.script.repeat.lock().expect("lock") = Some(AnswerRepeat {
                statement: "platform_status".to_owned(),
                part,
                time,
            });
            let mut successes = 0;
            for term in 1..=4 {
                endpoint.script.set_term(term);
                if time == RepeatTime::Idle {
                    tokio::time::sleep(IDLE_TIME).await;
                }
                let status = control.status(Duration::from_secs(2)).await;
                successes += usize::from(status.is_ok());
                if let Ok(status) = status
                    && status.point.term.0 != term
                {
                    faults.push(format!(
                        "{part:?} {time:?}: term {term} reported as {status:?}"
                    ));
                }
            }
            // At most the copied call and the next one may fail.
            if successes < 2 {
                faults.push(format!(
                    "{part:?} {time:?}: {successes} of 4 calls succeeded"
                ));
            }
        }
    }
    assert_none(&faults);
}
