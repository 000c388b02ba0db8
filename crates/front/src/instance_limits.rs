//! Timeouts, periods and fractions that the modules of the daemon share.

use std::time::Duration;

/// Time for which a watch waits for changes, and thus the maximum age of the view when the store
/// fails. Requests must be served for 3 s of an outage, and keys and primaries may be used until
/// the view is 3.8 s old.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Time beyond its wait after which a watch times out.
pub const WATCH_SLACK: Duration = Duration::from_millis(600);

/// Pause after a watch that returned changes, so that changes in quick succession come in one
/// answer.
pub const WATCH_PAUSE: Duration = Duration::from_millis(60);

/// Maximum time between two messages of a relay: two of its watches with their slack.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between messages to followers while the store sends no answer.
pub const RELAY_PERIOD: Duration = Duration::from_millis(350);

/// Timeout of all other calls to the store.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before a failed call to the store is retried.
pub const STORE_PAUSE: Duration = Duration::from_millis(250);

/// Duration of an instance's lease. A promotion waits for the acknowledgement of each instance
/// whose lease has not ended.
pub const LEASE_TIME: Duration = Duration::from_millis(9_000);

/// Time before the end of its lease at which an instance stops using primaries.
pub const LEASE_MARGIN: Duration = Duration::from_millis(1_000);

/// Time between renewals of the lease. After a failed renewal, half of the lease is left for
/// retries.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(4_000);

/// Age of the view at which the store counts as unreachable for all instances: two messages of a
/// relay.
pub const STORE_UNREACHABLE_AGE: Duration = Duration::from_millis(3_000);

/// Maximum pause before a failed registration is retried; the pauses start at [`STORE_PAUSE`] and
/// double.
pub const REGISTRATION_PAUSE: Duration = Duration::from_millis(1_000);

/// Time over which all instances register again after the store came back from a copy, so that 530 of
/// them make 530 of the 1,200 writes per second that a store accepts. It must end before primaries are
/// used again.
pub const REGISTRATION_SPREAD: Duration = Duration::from_millis(2_000);

/// Pause before a failed renewal is retried.
pub const RENEWAL_PAUSE: Duration = Duration::from_millis(600);

/// Duration of the leader lease, after which another instance can be elected.
pub const LEADER_LEASE_TIME: Duration = Duration::from_millis(1_500);

/// Time between renewals of the leader lease.
pub const LEADER_RENEWAL_PERIOD: Duration = Duration::from_millis(400);

/// Time before the end of its lease at which the leader stops acting.
pub const LEADER_MARGIN: Duration = Duration::from_millis(400);

/// Time after the end of its lease for which a leader lends tokens, provided that it knows of no
/// newer leader.
pub const LENDING_GRACE: Duration = Duration::from_millis(1_800);

/// Period of an instance's periodic tasks.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Timeout of opening a connection to an endpoint, its start-up included.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Fraction of an endpoint's connections for callers' requests. The rest is for the leader and for
/// closed connections that the endpoint has not dropped yet.
pub const CONNECTION_FRACTION: f64 = 0.75;

/// Multiple of its even share of the connections that a busy instance may use at once. Clients are
/// distributed by a hash, so that one instance gets up to about three times the mean.
pub const SKEW_FACTOR: f64 = 1.6;

/// Time after which idle connections are closed if endpoints accept fewer connections than there
/// are instances. At the rates of the larger deployments, this keeps about half of the accepted
/// connections open.
pub const SCARCE_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a host closes idle connections. A host keeps the connections of all teams, and
/// closes the least recently used one when it needs room.
pub const HOST_IDLE_TIME: Duration = Duration::from_secs(30);

/// Time after which an instance closes idle connections of its own to an endpoint whose host it uses.
/// Position probes use such a connection each [`FLOOR_PERIOD`], callers' requests do not.
pub const DIRECT_IDLE_TIME: Duration = Duration::from_millis(700);

/// Ticks between checks for connections that have been idle for too long.
pub const IDLE_TICKS: u64 = 3;

/// Maximum fraction of the target latency that a request waits before it is first sent to an
/// endpoint.
pub const QUEUE_FRACTION: f64 = 0.25;

/// Fraction of a route's target latency that an endpoint's answer may take before the instance
/// lowers the limit of its concurrent statements.
pub const SERVICE_TIME_FRACTION: f64 = 0.3;

/// Fraction of the drain time in which a draining primary still gets requests. The rest allows for
/// the delay until changes in the store reach an instance.
pub const DRAIN_FRACTION: f64 = 0.7;

/// Pause before the choice of an endpoint is retried.
pub const ROUTE_PAUSE: Duration = Duration::from_millis(10);

/// Maximum time that a request waits for loaned tokens: a round trip between zones, with queueing.
pub const TOKEN_WAIT: Duration = Duration::from_millis(40);

/// Ticks between requests of loans in advance.
pub const REQUEST_TICKS: u64 = 2;

/// Ticks between reports of the demand for connections to the leader.
pub const REPORT_TICKS: u64 = 10;

/// Margin by which a floor sample must be younger than a route's maximum staleness.
pub const FLOOR_MARGIN: Duration = Duration::from_millis(40);

/// Margin by which keys are rejected before the revocation time of the settings. Covers the second
/// for which a watch may receive nothing, and the time of a request in the instance.
pub const KEY_MARGIN: Duration = Duration::from_millis(1_200);

/// Age of a primary's position at which a relay queries it again for all its followers: a fifth of
/// the shortest staleness that routes allow.
pub const FLOOR_PERIOD: Duration = Duration::from_millis(300);

/// Time without an answer of a primary after which the leader probes it.
pub const PROBE_AGE: Duration = Duration::from_millis(500);

/// Timeout of a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two steps of a change of a primary that has to wait.
pub const STEP_PAUSE: Duration = Duration::from_millis(150);

/// Minimum time between two changes of the primary of a group.
pub const CHANGE_PAUSE: Duration = Duration::from_millis(3_000);

/// Time that a new leader waits before it acts on missing or demoted primaries, so that its view of
/// the endpoints is complete.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);
