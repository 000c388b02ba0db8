//! The project's daemon as separate processes, and clients of it.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::record::Record;

pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";

pub const OTHER_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

unsafe extern "C" {
    /// Sends a signal to a process.
    fn kill(process: i32, signal: i32) -> i32;
}

#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Term = 15,
    Continue = 18,
    Stop = 19,
}

/// Sends a signal to a process that this program has started.
pub fn send_signal(process: u32, signal: Signal) {
    // SAFETY: the call takes two numbers and has no effect on this process.
    unsafe { kill(process as i32, signal as i32) };
}

/// A daemon process, which is killed when this is dropped.
pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the command of the deploy file.
fn deploy_command() -> String {
    let text = std::fs::read_to_string("deploy/system.toml").expect("read the deploy file");
    let run = text.lines().find_map(|line| line.strip_prefix("run = "));
    run.expect("a command in the deploy file")
        .trim()
        .trim_matches('"')
        .to_owned()
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("open the log");
    let command = deploy_command();
    let mut words = command.split(' ');
    let child = Command::new(words.next().expect("a program"))
        .args(words)
        .env("TAMARACKLB_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("share the log"))
        .stderr(log)
        .spawn()
        .expect("start the daemon");
    // The script ends what a harness that was killed has left.
    let ids = File::options()
        .create(true)
        .append(true)
        .open(settings.with_file_name("ids"));
    writeln!(ids.expect("open the list of processes"), "{}", child.id()).expect("list the process");
    child
}

/// Returns a port from which a few in a row are free on an address.
fn free_ports(ip: &str) -> u16 {
    loop {
        let probe = TcpListener::bind((ip, 0)).expect("bind a port");
        let port = probe.local_addr().expect("address").port();
        drop(probe);
        let are_free =
            port < 60_000 && (port..port + 6).all(|port| TcpListener::bind((ip, port)).is_ok());
        if are_free {
            return port;
        }
    }
}

impl Front {
    /// Starts a daemon on a loopback address of its own, with settings as in DEPLOY.md.
    pub fn start(
        folder: &Path,
        number: u8,
        zone: &str,
        platform: SocketAddr,
        cloud: SocketAddr,
    ) -> Front {
        let ip = format!("127.0.3.{}", number + 1);
        let port = free_ports(&ip);
        let name = format!("front-{zone}-{number}");
        let text = format!(
            "NodeName: \"{name}\"\nRole: \"front\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\n\
             Ip: \"{ip}\"\nZone: \"{zone}\"\nRegion: \"lagos\"\n\
             Zones:\n  lagos-a: \"lagos\"\n  lagos-b: \"lagos\"\n  lagos-c: \"lagos\"\n\
             Listen:\n  Front: \"{ip}:{port}\"\n  Ready: \"{ip}:{}\"\n\
             InternalPorts:\n  - {}\n  - {}\nSeeds: []\nFirstStart: true\nCountsAsLoss: false\n\
             Limits:\n  CpuShare: 0.17\n  Cores: 1\n  MemoryMb: 182\n  FileDescriptors: 3010\n  LinkMbps: 700.0\n  DiskMb: 0\n\
             DataDirectory: null\nDiscovery: \"platform\"\nEntry: \"virtual_ip\"\nHeartbeatMs: 1200\n\
             Contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  - \"tenants\"\n  - \"quota\"\n  - \"platform\"\n\
             Tolerate:\n  Machines: 2\n  Zones: 0\n  Regions: 0\n\
             Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  CatchUpS: 4\n  DrainMs: 7000\n  GraceS: 6\n\
             \x20 LossSlackMs: 200\n  ConfigApplyMs: 3000\n  BackMs: 250\n  MaxStretchMs: 12000\n  StrictRevocation: true\n  RevokeMs: 5000\n\
             \x20 QuotaWindowS: 5\n  QuotaOverage: 0.1\n  QuotaSlack: 20\n  RecoveryS: 12\n  RequireFencing: false\n  ThawMs: 300\n\
             platform:\n  Address: \"{platform}\"\n  form: \"kv\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  MinTtlMs: 1000\n\
             Cloud:\n  Address: \"{cloud}\"\n  RatePerS: 50.0\n  Duties:\n    - \"promotion\"\n  DutyPerS: 50.0\n",
            port + 1,
            port + 2,
            port + 5,
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("write the settings");
        let log = folder.join(format!("{name}.log"));
        Front {
            callers: format!("{ip}:{port}").parse().expect("an address"),
            ready: format!("{ip}:{}", port + 1).parse().expect("an address"),
            child: spawn(&settings, &log),
            name,
            settings,
            log,
        }
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok();
        let request = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        stream.write_all(request).is_ok()
            && stream.read_to_string(&mut text).is_ok()
            && text.starts_with("HTTP/1.1 200")
    }
}

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The receipt, or the code and text of the error.
    pub result: Result<String, String>,
    pub state: String,
}

impl Answer {
    pub fn is_ok(&self) -> bool {
        self.result.is_ok()
    }
}

/// A session of a client.
pub struct Client {
    pub name: String,
    reader: BufReader<TcpStream>,
    record: Arc<Record>,
}

static REQUESTS: AtomicU64 = AtomicU64::new(1);

impl Client {
    /// Opens a session, or returns why there is none.
    pub fn open(
        record: &Arc<Record>,
        name: &str,
        address: SocketAddr,
        database: &str,
    ) -> Result<Client, String> {
        Self::open_with(record, name, address, database, KEY)
    }

    /// As [`Client::open`], with a key.
    pub fn open_with(
        record: &Arc<Record>,
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
    ) -> Result<Client, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        let stream = stream.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(4))).ok();
        let reader = BufReader::new(stream);
        let mut client = Client {
            name: name.to_owned(),
            reader,
            record: Arc::clone(record),
        };
        client.send(&format!("STARTUP {database} {key}\r\n"))?;
        let line = client.line()?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(line),
        }
    }

    fn send(&mut self, line: &str) -> Result<(), String> {
        let sent = self.reader.get_mut().write_all(line.as_bytes());
        sent.map_err(|error| error.to_string())
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends a request and returns its id with the answer, or why there is none.
    pub fn request(&mut self, text: &str) -> (String, Result<Answer, String>) {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        self.record
            .write(&format!("{} sends {id} {text}", self.name));
        let answer = self.exchange(&id, text);
        let shown = match &answer {
            Ok(answer) => format!(
                "{:?} {:?} state {}",
                answer.rows, answer.result, answer.state
            ),
            Err(why) => format!("no answer: {why}"),
        };
        self.record
            .write(&format!("{} gets {id} {shown}", self.name));
        (id, answer)
    }

    fn exchange(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        let (mut rows, mut result) = (Vec::new(), Err("no result".to_owned()));
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(Answer {
                        rows,
                        result,
                        state,
                    });
                }
                _ => return Err(format!("unexpected {line}")),
            }
        }
    }
}
