//! Times and sizes of the daemon, with their units and sources.

use std::time::Duration;

/// How long a watch waits for changes. Evidence is at most this old when the store fails, and
/// requests are owed for 3 s of its absence, while keys and primaries may be used for 3.8 s.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);

/// The longest time to an answer of a watch beyond its wait.
pub const WATCH_SLACK: Duration = Duration::from_millis(600);

/// Pause between two watches, which gathers changes that come in quick succession.
pub const WATCH_PAUSE: Duration = Duration::from_millis(60);

/// The longest time between two messages of the instance that follows the store for a zone: two
/// of its watches with their slack.
pub const RELAY_TIME: Duration = Duration::from_millis(1_500);

/// Time between messages to followers where the store says nothing.
pub const RELAY_PERIOD: Duration = Duration::from_millis(350);

/// The longest time to an answer of any other call to the store.
pub const STORE_TIME: Duration = Duration::from_millis(900);

/// Pause before a failed call to the store is repeated.
pub const STORE_PAUSE: Duration = Duration::from_millis(250);

/// Length of an instance's lease; a promotion waits for the acknowledgement of each instance whose
/// lease lasts.
pub const LEASE_TIME: Duration = Duration::from_millis(9_000);

/// How long before the end of its lease an instance stops to use primaries.
pub const LEASE_MARGIN: Duration = Duration::from_millis(1_000);

/// Time between renewals of the lease: one that fails leaves half of the lease for others.
pub const RENEWAL_TIME: Duration = Duration::from_millis(4_000);

/// The age of the evidence at which the store counts as silent for everybody: two messages of a
/// relay.
pub const SILENT_STORE_TIME: Duration = Duration::from_millis(3_000);

/// The longest pause before a failed registration is repeated; the first ones are shorter.
pub const REGISTRATION_PAUSE: Duration = Duration::from_millis(1_000);

/// Time before a renewal that failed is tried again.
pub const RENEWAL_PAUSE: Duration = Duration::from_millis(600);

/// Length of the leader's lease, after which another instance takes over.
pub const LEADER_LEASE_TIME: Duration = Duration::from_millis(1_500);

/// Time between renewals of the leader's lease.
pub const LEADER_RENEWAL_TIME: Duration = Duration::from_millis(400);

/// How long before the end of its lease the leader stops to act.
pub const LEADER_MARGIN: Duration = Duration::from_millis(400);

/// How long after the end of its lease a leader lends tokens to instances that know no other one.
pub const LENDING_GRACE: Duration = Duration::from_millis(1_800);

/// The time of the periodic work of an instance.
pub const TICK_TIME: Duration = Duration::from_millis(100);

/// The longest time to open a connection to an endpoint, its start-up included.
pub const CONNECT_TIME: Duration = Duration::from_millis(500);

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
pub const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1_200);

/// The part of an endpoint's connections that callers' requests use; the rest is for the leader
/// and for connections that an endpoint has not dropped yet.
pub const CONNECTION_FRACTION: f64 = 0.75;

/// How many times its even part of the connections a busy instance may use at once. Clients are
/// spread by a hash, so that one instance gets up to about three times the mean.
pub const UNEVEN_FACTOR: f64 = 1.6;

/// How long a connection stays idle where endpoints accept fewer than there are instances. At the
/// rates of the larger deployments, about half of the accepted connections are open then.
pub const SCARCE_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Ticks between looks for connections that were idle for too long.
pub const IDLE_TICKS: u64 = 3;

/// The longest part of the target latency that a request waits without being offered.
pub const QUEUE_FRACTION: f64 = 0.25;

/// The part of a route's target latency that an answer of an endpoint may take before the instance
/// sends it fewer statements at once.
pub const SERVICE_TIME_FRACTION: f64 = 0.3;

/// The part of the time that an endpoint takes to leave in which requests still go there, where it
/// is the primary; the rest is for news of the store that arrive late.
pub const DRAIN_FRACTION: f64 = 0.7;

/// Pause before a request looks for an endpoint again.
pub const ROUTE_PAUSE: Duration = Duration::from_millis(10);

/// The longest wait for tokens of the lender: a round trip between zones and its queues.
pub const TOKEN_TIME: Duration = Duration::from_millis(40);

/// Ticks between datagrams that ask for tokens in advance.
pub const ASK_TICKS: u64 = 2;

/// Ticks between reports of the demand for connections.
pub const REPORT_TICKS: u64 = 10;

/// The age of a floor sample below which a bounded read uses it without asking again.
pub const FLOOR_MARGIN: Duration = Duration::from_millis(40);

/// The evidence age at which keys are no longer accepted, before the bound of the settings: the
/// second for which a watch may hear nothing, and the time of a request in the instance.
pub const KEY_MARGIN: Duration = Duration::from_millis(1_200);

/// The age of a primary's position at which it is asked for again, for all instances that learn it
/// by relay: a fifth of the shortest staleness that routes allow.
pub const FLOOR_PERIOD: Duration = Duration::from_millis(300);

/// How long an idle primary is left alone before the leader asks it anything.
pub const PROBE_TIME: Duration = Duration::from_millis(500);

/// The longest time to the answer of a probe.
pub const PROBE_WAIT: Duration = Duration::from_millis(500);

/// How long a change of a primary rests after a failed step.
pub const STEP_PAUSE: Duration = Duration::from_millis(150);

/// The least time between two changes of the primary of a group.
pub const CHANGE_PAUSE: Duration = Duration::from_millis(3_000);

/// How long a new leader waits for the first view of a group's endpoints.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);
