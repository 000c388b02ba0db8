//! Acquires connections to endpoints: from the endpoint's host where connections are scarce, else
//! from this instance's own pool.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use session_core::caller_statement::StatementDefinition;
use session_core::connection_host;
use session_core::endpoint_entry::EndpointEntry;
use session_core::host_exclusion::HostExclusion;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::ids::TeamId;
use session_core::ids::ZoneId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::prepared_name::PreparedName;
use session_core::session_values::ConnectionValues;
use session_core::session_values::SessionValues;
use session_core::store_revision::StoreRevision;
use tokio::sync::oneshot;

use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointConnection;
use crate::endpoint_pool::PoolError;
use crate::endpoint_pool::PooledConnection;
use crate::fleet_keys::MemberValue;
use crate::fleet_view::FleetView;
use crate::host_channel::HostChannel;
use crate::host_link::HostLink;
use crate::host_link::LinkError;
use crate::host_message::ConnectionRequest;
use crate::host_message::HostRefusal;
use crate::host_message::HostReply;
use crate::host_message::HostRequest;
use crate::host_message::ReplyBody;
use crate::instance::Instance;
use crate::instance_limits::CONNECT_TIMEOUT;
use crate::instance_limits::ROUTE_PAUSE;

/// Time after the failure of a link in which a new one is not tried at once.
const FAILURE_TIME: Duration = Duration::from_secs(1);

/// Time without a message after which a host that owes a reply is passed over.
const HOST_SILENCE: Duration = Duration::from_millis(300);

/// Pause between two checks whether a host is silent.
const SILENCE_PAUSE: Duration = Duration::from_millis(50);

/// Maximum length of the values that are sent to choose a connection.
const MAX_HINT_BYTES: usize = 4 * 1024;

/// Maximum length of a first statement that is sent to a host. A longer one takes so long on a slow
/// link that its host would forward it late.
const MAX_FIRST_BYTES: usize = 64 * 1024;

/// Requirements for a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionNeed<'a> {
    /// Registry entry of the endpoint.
    pub entry: &'a EndpointEntry,
    /// Team whose statements run on it.
    pub team: Option<&'a TeamId>,
    /// Values of the session.
    pub session: &'a SessionValues,
    /// Prepared statement to run, if there is one.
    pub definition: Option<&'a StatementDefinition>,
    /// Length of the statement in bytes.
    pub bytes: usize,
    /// Maximum time to wait while all connections are in use.
    pub wait: Duration,
}

/// Instance that may be the host of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostCandidate {
    /// Name of the instance.
    pub name: InstanceId,
    /// Address of its link port.
    pub address: SocketAddr,
}

/// Why a host did not provide a connection.
enum HostError {
    /// Another host or a direct connection may be used.
    Unavailable,
    /// The endpoint or its connections are at fault.
    Pool(PoolError),
}

/// Candidates of an endpoint and the state from which they were derived.
#[derive(Debug)]
struct KnownCandidates {
    zone: ZoneId,
    /// Revision of the view.
    revision: StoreRevision,
    members: MembersVersion,
    candidates: Rc<Vec<HostCandidate>>,
}

/// Number of members and newest revision of a member. Most changes of the view leave it as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MembersVersion {
    count: usize,
    revision: StoreRevision,
}

impl MembersVersion {
    fn of(view: &FleetView) -> Self {
        let revisions = view.members.values().map(|member| member.revision);
        Self {
            count: view.members.len(),
            revision: revisions.max().unwrap_or_default(),
        }
    }
}

/// Links to hosts.
#[derive(Debug, Default)]
pub struct HostLinks {
    links: RefCell<HashMap<InstanceId, Rc<HostLink>>>,
    excluded: RefCell<HashMap<InstanceId, HostExclusion>>,
    candidates: RefCell<HashMap<EndpointId, KnownCandidates>>,
    acquired: Cell<u64>,
}

impl HostLinks {
    /// Returns the number of connections that hosts provided.
    pub fn acquired(&self) -> u64 {
        self.acquired.get()
    }

    /// Returns the number of links and of their open channels.
    pub fn open_links(&self) -> (usize, usize) {
        let links = self.links.borrow();
        let open = links.values().filter(|link| !link.is_lost());
        open.fold((0, 0), |(links, channels), link| {
            (links + 1, channels + link.channels())
        })
    }

    /// Returns whether a host has answered on some open link.
    pub fn has_confirmed(&self) -> bool {
        self.links.borrow().values().any(|link| link.is_confirmed())
    }

    /// Returns the link to a host, which is opened if there is none. Returns `None` and passes the
    /// host over if the last link to it failed a short time ago.
    fn link(&self, candidate: &HostCandidate) -> Option<Rc<HostLink>> {
        let mut links = self.links.borrow_mut();
        let failed_at = links.get(&candidate.name).and_then(|link| link.failed_at());
        let has_failed = failed_at.is_some_and(|at| now().saturating_since(at) < FAILURE_TIME);
        links.retain(|_, link| !link.is_lost());
        if has_failed {
            self.exclude(&candidate.name, "lost");
            return None;
        }
        let link = links
            .entry(candidate.name.clone())
            .or_insert_with(|| HostLink::open(candidate.name.clone(), candidate.address));
        Some(Rc::clone(link))
    }

    /// Passes a host over for some time.
    fn exclude(&self, host: &InstanceId, reason: &'static str) {
        let at = now();
        let mut excluded = self.excluded.borrow_mut();
        let former = excluded.get(host).copied();
        excluded.insert(host.clone(), HostExclusion::after_failure(former, at));
        if former.is_none_or(|former| !former.applies(at)) {
            tracing::info!(event = "host_excluded", host = %host, reason);
        }
    }

    fn is_excluded(&self, host: &InstanceId) -> bool {
        let excluded = self.excluded.borrow();
        excluded.get(host).is_some_and(|host| host.applies(now()))
    }

    /// Returns whether a host may be asked for a connection to an endpoint.
    fn may_use(&self, candidate: &HostCandidate, endpoint: &EndpointId) -> bool {
        let links = self.links.borrow();
        let link = links.get(&candidate.name);
        !self.is_excluded(&candidate.name)
            && !link.is_some_and(|link| link.has_endpoint_fault(endpoint))
    }

    /// Returns the instances that may be the host of an endpoint, first choice first.
    pub fn candidates(&self, instance: &Instance, entry: &EndpointEntry) -> Rc<Vec<HostCandidate>> {
        let view = instance.view.borrow();
        let mut cache = self.candidates.borrow_mut();
        let known = cache.get_mut(&entry.id);
        let mut known = known.filter(|known| known.zone == entry.zone);
        if let Some(known) = &known
            && known.revision == view.revision
        {
            return Rc::clone(&known.candidates);
        }
        let members_version = MembersVersion::of(&view);
        if let Some(known) = &mut known
            && known.members == members_version
        {
            known.revision = view.revision;
            return Rc::clone(&known.candidates);
        }
        let in_zone = |member: &MemberValue| member.zone == entry.zone;
        // The endpoints of a zone without instances have their hosts in any zone.
        let anywhere = !view.members.values().any(|member| in_zone(&member.value));
        let members = view.members.iter();
        let members = members
            .filter(|(_, member)| anywhere || in_zone(&member.value))
            .map(|(name, member)| member.value.ranked(name));
        let hosts = connection_host::connection_hosts(&entry.id, members);
        let candidates = hosts.into_iter().filter_map(|name| {
            let address = view.members.get(name)?.value.address;
            let port = address.port().checked_add(1)?;
            Some(HostCandidate {
                name: name.clone(),
                address: SocketAddr::new(address.ip(), port),
            })
        });
        let candidates = Rc::new(candidates.collect::<Vec<_>>());
        cache.retain(|id, _| view.endpoints.contains_key(id));
        let mut excluded = self.excluded.borrow_mut();
        excluded.retain(|host, _| view.members.contains_key(host));
        let known = KnownCandidates {
            zone: entry.zone.clone(),
            revision: view.revision,
            members: members_version,
            candidates: Rc::clone(&candidates),
        };
        cache.insert(entry.id.clone(), known);
        candidates
    }

    /// Returns whether an endpoint has a host that this instance may use. It keeps the connections of
    /// all teams, so it is likely to have one that fits.
    pub fn is_likely_connected(&self, instance: &Instance, entry: &EndpointEntry) -> bool {
        let candidates = self.candidates(instance, entry);
        let mut candidates = candidates.iter();
        let usable = candidates.find(|candidate| self.may_use(candidate, &entry.id));
        let is_own = |candidate: &HostCandidate| candidate.name == instance.settings.instance;
        usable.is_some_and(|candidate| !is_own(candidate) && self.has_confirmed())
    }
}

/// Acquires a connection from the endpoint's host, or from this instance's own pool if it is the
/// host or no host can be used.
///
/// # Errors
///
/// See [`PoolError`].
pub async fn acquire_connection(
    instance: &Rc<Instance>,
    need: &ConnectionNeed<'_>,
) -> Result<PooledConnection, PoolError> {
    let end = now() + need.wait;
    if instance.connections_are_scarce() && need.bytes <= MAX_FIRST_BYTES {
        let links = &instance.host_links;
        for candidate in links.candidates(instance, need.entry).iter() {
            if candidate.name == instance.settings.instance {
                break;
            }
            if !links.may_use(candidate, &need.entry.id) {
                continue;
            }
            match acquire_from_host(instance, candidate, need, end).await {
                Ok(connection) => return Ok(connection),
                Err(HostError::Pool(error)) => return Err(error),
                // The next host is tried by a later request.
                Err(HostError::Unavailable) if now() >= end => break,
                Err(HostError::Unavailable) => {}
            }
        }
    }
    let limit = instance.connection_limit(need.entry);
    let wait = end.saturating_since(now());
    let name = need.definition.map(PreparedName::new);
    let is_preferred = |values: &ConnectionValues| values.preference(need.session, name.as_ref());
    let pool = &instance.pool;
    pool.acquire_connection(need.entry, need.team, is_preferred, limit, wait)
        .await
}

async fn acquire_from_host(
    instance: &Rc<Instance>,
    candidate: &HostCandidate,
    need: &ConnectionNeed<'_>,
    end: MonotonicTime,
) -> Result<PooledConnection, HostError> {
    let links = &instance.host_links;
    let link = links.link(candidate).ok_or(HostError::Unavailable)?;
    if !link.is_confirmed() && links.excluded.borrow().contains_key(&candidate.name) {
        // A request need not wait for the first answer of a host that has failed before.
        return Err(HostError::Unavailable);
    }
    if link.silence() >= HOST_SILENCE {
        links.exclude(&candidate.name, "silent");
        return Err(HostError::Unavailable);
    }
    let request = connection_request(need, end.saturating_since(now()));
    let (number, reply) = match link.open_channel(&HostRequest::Acquire(request.clone())) {
        Ok(opened) => opened,
        Err(LinkError::Lost) => return Err(HostError::Unavailable),
        Err(LinkError::Full) => {
            // The request is repeated at once if its endpoint is the only one.
            tokio::time::sleep(ROUTE_PAUSE).await;
            return Err(HostError::Pool(PoolError::Exhausted));
        }
    };
    // Releases the channel if the request is given up while it waits.
    let endpoint = need.entry.id.clone();
    let channel = HostChannel::new(Rc::clone(&link), endpoint.clone(), number);
    let reply = match await_acquisition(&link, reply, end + CONNECT_TIMEOUT).await {
        Ok(reply) => reply,
        Err(AcquireFault::Lost) => {
            links.exclude(&candidate.name, "lost");
            return Err(HostError::Unavailable);
        }
        Err(AcquireFault::Silent) => {
            links.exclude(&candidate.name, "silent");
            return Err(HostError::Unavailable);
        }
        Err(AcquireFault::Overdue) => return Err(HostError::Pool(PoolError::Exhausted)),
    };
    match reply.body {
        ReplyBody::Acquired { values, prepared } => {
            links.acquired.set(links.acquired.get() + 1);
            links.excluded.borrow_mut().remove(&candidate.name);
            let values = connection_values(request, values, prepared);
            let team = need.team.cloned();
            let connection = EndpointConnection::shared(channel, endpoint, team, values);
            Ok(instance.pool.shared_connection(connection))
        }
        ReplyBody::Refused(refusal) => {
            if refusal == HostRefusal::NotConnected {
                link.record_endpoint_fault(&endpoint);
            }
            Err(refusal_error(links, candidate, refusal))
        }
        ReplyBody::Answers { .. } | ReplyBody::Failed(_) | ReplyBody::Pong => {
            links.exclude(&candidate.name, "unexpected_reply");
            Err(HostError::Unavailable)
        }
    }
}

fn refusal_error(links: &HostLinks, candidate: &HostCandidate, refusal: HostRefusal) -> HostError {
    match refusal {
        HostRefusal::NoRoom => HostError::Pool(PoolError::Exhausted),
        HostRefusal::EndpointRefused(refusal) => {
            HostError::Pool(PoolError::Connect(ConnectError::Refused(refusal)))
        }
        HostRefusal::NotConnected => HostError::Pool(PoolError::Connect(ConnectError::AtHost)),
        HostRefusal::UnknownEndpoint => HostError::Unavailable,
        HostRefusal::Stopping => {
            links.exclude(&candidate.name, "stopping");
            HostError::Unavailable
        }
    }
}

/// Why a host did not reply to a request for a connection.
enum AcquireFault {
    Lost,
    Silent,
    Overdue,
}

async fn await_acquisition(
    link: &HostLink,
    mut reply: oneshot::Receiver<HostReply>,
    end: MonotonicTime,
) -> Result<HostReply, AcquireFault> {
    loop {
        match tokio::time::timeout(SILENCE_PAUSE, &mut reply).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(_)) => return Err(AcquireFault::Lost),
            Err(_) if link.silence() >= HOST_SILENCE => return Err(AcquireFault::Silent),
            Err(_) if now() >= end => return Err(AcquireFault::Overdue),
            Err(_) => {}
        }
    }
}

fn connection_request(need: &ConnectionNeed<'_>, wait: Duration) -> ConnectionRequest {
    let values = &need.session.values;
    let bytes: usize = values
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    ConnectionRequest {
        service: need.entry.service.clone(),
        endpoint: need.entry.id.clone(),
        team: need.team.cloned(),
        values: match bytes <= MAX_HINT_BYTES {
            true => values.clone(),
            false => Default::default(),
        },
        prepared: need.definition.map(PreparedName::new),
        wait,
    }
}

/// Returns what a host's reply says of the connection's values.
fn connection_values(
    request: ConnectionRequest,
    values: Option<std::collections::BTreeMap<String, String>>,
    prepared: bool,
) -> ConnectionValues {
    ConnectionValues {
        values: values.unwrap_or(request.values),
        prepared: request.prepared.filter(|_| prepared).into_iter().collect(),
    }
}
