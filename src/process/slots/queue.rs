//! The queue for a service's slots: deficit round robin between teams, charged with slot time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::process::slots::messages::PermitId;
use crate::process::slots::messages::SlotClass;
use crate::process::timers::MonotonicTime;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;
use crate::version::units::SlotCount;
use crate::version::units::TeamWeight;

/// How the next request is chosen. The measurements use all but the first as baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// Deficit round robin between teams by measured slot time.
    SlotTime,
    /// First come, first served.
    Arrival,
    /// Each team has the same fixed number of slots.
    EvenSplit,
}

/// The settings of a queue.
#[derive(Debug, Clone)]
pub struct QueueSettings {
    /// How the next request is chosen.
    pub order: QueueOrder,
    /// Maximum number of waiting requests per slot of the service.
    pub length_per_slot: usize,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Slot time added to a team's deficit in each round, at weight 1.
    pub quantum: Duration,
    /// Maximum number of rounds of unused deficit that a team accumulates, for bursts.
    pub credit_rounds: f64,
    /// Time for which a team counts as active after its last request.
    pub active_window: Duration,
    /// Time constant of the moving average of held slots.
    pub usage_window: Duration,
    /// Ratio to the other teams' mean slot time above which a team's transactions count as long.
    pub long_factor: f64,
    /// Whether teams must leave slots free for other active teams.
    pub keeps_reserve: bool,
    /// Whether a request is refused at once if its expected wait exceeds its deadline.
    pub refuses_early: bool,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            order: QueueOrder::SlotTime,
            length_per_slot: 64,
            max_wait: Duration::from_secs(5),
            quantum: Duration::from_millis(5),
            credit_rounds: 8.0,
            active_window: Duration::from_secs(10),
            usage_window: Duration::from_secs(2),
            long_factor: 4.0,
            keeps_reserve: true,
            refuses_early: true,
        }
    }
}

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Its identifier.
    pub id: PermitId,
    /// The team that is charged.
    pub team: TeamId,
    /// Whether it needs the primary.
    pub class: SlotClass,
    /// The endpoints that may serve it, the preferred one first.
    pub eligible: Vec<EndpointId>,
    /// When it is refused if it still waits.
    pub deadline: MonotonicTime,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotAction {
    /// The request may run on the endpoint.
    Grant { id: PermitId, endpoint: EndpointId },
    /// The request did not run and will not run.
    Refuse {
        id: PermitId,
        refusal: RequestRefusal,
    },
}

#[derive(Debug, Clone)]
struct TeamQueue {
    weight: f64,
    /// Waiting requests with their arrival numbers.
    waiting: VecDeque<(u64, SlotRequest)>,
    /// The slot time that the team may still use, in seconds.
    deficit: f64,
    /// The round up to which `deficit` is credited.
    round: u64,
    /// Moving average of its transactions' slot time, in seconds.
    mean: Option<f64>,
    running: BTreeMap<EndpointId, u32>,
    last_active: MonotonicTime,
    /// Moving average of the number of held slots, as of `usage_at`.
    usage: f64,
    usage_at: MonotonicTime,
}

impl TeamQueue {
    /// Updates the average of held slots; called before the number of held slots changes.
    fn record_usage(&mut self, window: Duration, now: MonotonicTime) {
        self.usage = self.usage_now(window, now);
        self.usage_at = now;
    }

    fn usage_now(&self, window: Duration, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.usage_at).as_secs_f64();
        let held = f64::from(self.running_total());
        held + (self.usage - held) * (-age / window.as_secs_f64()).exp()
    }

    fn running_total(&self) -> u32 {
        self.running.values().sum()
    }
}

#[derive(Debug, Clone)]
struct EndpointSlots {
    slots: u32,
    used: u32,
}

#[derive(Debug, Clone)]
struct RunningPermit {
    team: TeamId,
    endpoint: EndpointId,
    since: MonotonicTime,
    /// The slot time charged in advance, in seconds.
    charged: f64,
}

/// The queue of one service.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    settings: QueueSettings,
    endpoints: BTreeMap<EndpointId, EndpointSlots>,
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Teams in the order of service; the first is served while its deficit is positive.
    rotation: VecDeque<TeamId>,
    running: BTreeMap<PermitId, RunningPermit>,
    rounds: u64,
    arrivals: u64,
    waiting: usize,
}

impl SlotQueue {
    /// Creates a queue without endpoints.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
            teams: BTreeMap::new(),
            rotation: VecDeque::new(),
            running: BTreeMap::new(),
            rounds: 0,
            arrivals: 0,
            waiting: 0,
        }
    }

    /// Sets the endpoints and their slots; permits on removed ones stay until they end.
    pub fn set_endpoints(&mut self, slots: &[(EndpointId, SlotCount)]) {
        self.endpoints = slots
            .iter()
            .map(|(endpoint, slots)| {
                let running = self.running.values().filter(|p| p.endpoint == *endpoint);
                let used = u32::try_from(running.count()).unwrap_or(u32::MAX);
                let slots = EndpointSlots {
                    slots: slots.0,
                    used,
                };
                (endpoint.clone(), slots)
            })
            .collect();
    }

    /// Sets the weight of a team, at least 0.01; the default is 1.
    pub fn set_weight(&mut self, team: &TeamId, weight: TeamWeight, now: MonotonicTime) {
        self.team_queue(team, now).weight = weight.0.max(0.01);
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the endpoint of a running permit.
    pub fn running_endpoint(&self, id: &PermitId) -> Option<&EndpointId> {
        self.running.get(id).map(|permit| &permit.endpoint)
    }

    /// Returns the number of used slots of an endpoint.
    pub fn used(&self, endpoint: &EndpointId) -> u32 {
        self.endpoints.get(endpoint).map_or(0, |slots| slots.used)
    }

    /// Returns whether a request waits.
    pub fn is_waiting(&self, id: &PermitId) -> bool {
        self.teams
            .values()
            .any(|team| team.waiting.iter().any(|(_, r)| r.id == *id))
    }

    /// Adds a request and grants all requests that can run.
    pub fn push(&mut self, request: SlotRequest, now: MonotonicTime) -> Vec<SlotAction> {
        let mut actions = self.enqueue(request, now);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Adds a request without granting any.
    pub fn enqueue(&mut self, mut request: SlotRequest, now: MonotonicTime) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        request.deadline = request.deadline.min(now + self.settings.max_wait);
        let total = self.total_slots();
        self.team_queue(&request.team, now).last_active = now;
        if self.settings.refuses_early
            && now + self.expected_wait(&request.team, now) > request.deadline
        {
            let refusal = RequestRefusal::QueueDeadline;
            actions.push(SlotAction::Refuse {
                id: request.id,
                refusal,
            });
            return actions;
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.waiting += 1;
        self.team_queue(&request.team, now)
            .waiting
            .push_back((arrival, request));
        let max_waiting = self.settings.length_per_slot * usize::try_from(total).unwrap_or(1);
        if self.waiting > max_waiting.max(1) {
            // Drop the newest request of the longest queue by weight: no team can fill the queue.
            let longest = self.teams.values_mut().max_by(|a, b| {
                let length = |team: &TeamQueue| team.waiting.len() as f64 / team.weight;
                length(a).total_cmp(&length(b))
            });
            if let Some((_, dropped)) = longest.and_then(|team| team.waiting.pop_back()) {
                self.waiting -= 1;
                let refusal = RequestRefusal::QueueFull;
                actions.push(SlotAction::Refuse {
                    id: dropped.id,
                    refusal,
                });
            }
        }
        actions
    }

    /// Releases a permit and grants requests that can run now.
    ///
    /// `used` is the slot time that its holder measured; the default is the permit's age.
    pub fn release(
        &mut self,
        id: &PermitId,
        used: Option<Duration>,
        now: MonotonicTime,
    ) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        if let Some(permit) = self.running.remove(id) {
            let age = now.saturating_since(permit.since);
            let used = used.unwrap_or(age).min(age).as_secs_f64();
            if let Some(slots) = self.endpoints.get_mut(&permit.endpoint) {
                slots.used = slots.used.saturating_sub(1);
            }
            let window = self.settings.usage_window;
            let team = self.team_queue(&permit.team, now);
            team.record_usage(window, now);
            team.deficit -= used - permit.charged;
            team.mean = Some(team.mean.map_or(used, |mean| mean * 0.9 + used * 0.1));
            if let Some(running) = team.running.get_mut(&permit.endpoint) {
                *running = running.saturating_sub(1);
            }
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Records a permit that was granted by another coordinator or without one.
    pub fn record_running(
        &mut self,
        id: PermitId,
        team: &TeamId,
        endpoint: &EndpointId,
        now: MonotonicTime,
    ) {
        if !self.running.contains_key(&id) {
            self.start(id, team, endpoint, 0.0, now);
        }
    }

    /// Removes a waiting request whose caller gave up.
    pub fn cancel(&mut self, id: &PermitId) {
        for team in self.teams.values_mut() {
            let before = team.waiting.len();
            team.waiting.retain(|(_, request)| request.id != *id);
            self.waiting -= before - team.waiting.len();
        }
    }

    /// Removes the requests and releases the permits of an instance that is judged dead.
    pub fn remove_instance(
        &mut self,
        instance: &InstanceId,
        now: MonotonicTime,
    ) -> Vec<SlotAction> {
        for team in self.teams.values_mut() {
            let before = team.waiting.len();
            team.waiting
                .retain(|(_, request)| request.id.instance != *instance);
            self.waiting -= before - team.waiting.len();
        }
        let mut actions = Vec::new();
        for id in self.permits_of(instance, now) {
            actions.extend(self.release(&id, None, now));
        }
        actions
    }

    /// Returns how long a permit has run; zero if it is not running.
    pub fn age(&self, id: &PermitId, now: MonotonicTime) -> Duration {
        let permit = self.running.get(id);
        permit.map_or(Duration::ZERO, |permit| now.saturating_since(permit.since))
    }

    /// Returns the permits of an instance that were granted at or before a time.
    pub fn permits_of(&self, instance: &InstanceId, before: MonotonicTime) -> Vec<PermitId> {
        let permits = self
            .running
            .iter()
            .filter(|(id, permit)| id.instance == *instance && permit.since <= before);
        permits.map(|(id, _)| id.clone()).collect()
    }

    /// Refuses requests past their deadline and grants requests that can run.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for team in self.teams.values_mut() {
            team.waiting.retain(|(_, request)| {
                let keep = request.deadline > now;
                if !keep {
                    let refusal = RequestRefusal::QueueDeadline;
                    let id = request.id.clone();
                    actions.push(SlotAction::Refuse { id, refusal });
                }
                keep
            });
        }
        self.waiting -= actions.len();
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns the time until a new request of a team would run, on the team's fair slots.
    fn expected_wait(&self, team: &TeamId, now: MonotonicTime) -> Duration {
        let Some(queue) = self.teams.get(team) else {
            return Duration::ZERO;
        };
        if queue.waiting.is_empty() {
            return Duration::ZERO;
        }
        let mean = queue.mean.unwrap_or_else(|| self.mean_slot_time(None));
        let weights = self.active_weight(now).max(queue.weight);
        let slots = f64::from(self.total_slots().max(1)) * queue.weight / weights;
        Duration::from_secs_f64(queue.waiting.len() as f64 * mean / slots)
    }

    fn dispatch(&mut self, now: MonotonicTime, actions: &mut Vec<SlotAction>) {
        while self.waiting > 0 {
            let Some((team, index, endpoint)) = self.choose(now) else {
                return;
            };
            let mean = self.mean_slot_time(None);
            let queue = self.team_queue(&team, now);
            let Some((_, request)) = queue.waiting.remove(index) else {
                return;
            };
            let charged = queue.mean.unwrap_or(mean);
            queue.deficit -= charged;
            self.waiting -= 1;
            self.start(request.id.clone(), &team, &endpoint, charged, now);
            actions.push(SlotAction::Grant {
                id: request.id,
                endpoint,
            });
        }
    }

    fn start(
        &mut self,
        id: PermitId,
        team: &TeamId,
        endpoint: &EndpointId,
        charged: f64,
        now: MonotonicTime,
    ) {
        if let Some(slots) = self.endpoints.get_mut(endpoint) {
            slots.used += 1;
        }
        let window = self.settings.usage_window;
        let queue = self.team_queue(team, now);
        queue.record_usage(window, now);
        *queue.running.entry(endpoint.clone()).or_default() += 1;
        queue.last_active = now;
        let permit = RunningPermit {
            team: team.clone(),
            endpoint: endpoint.clone(),
            since: now,
            charged,
        };
        self.running.insert(id, permit);
    }

    /// Returns the team to serve, the index of its request and the endpoint.
    fn choose(&mut self, now: MonotonicTime) -> Option<(TeamId, usize, EndpointId)> {
        let mut ready = BTreeMap::new();
        for team in &self.rotation {
            if let Some(found) = self.dispatchable(team, now) {
                ready.insert(team.clone(), found);
            }
        }
        let chosen = if self.settings.order == QueueOrder::Arrival {
            let arrival = |team: &TeamId| {
                ready
                    .get(team)
                    .map(|(index, _)| self.teams[team].waiting[*index].0)
            };
            ready.keys().min_by_key(|team| arrival(team)).cloned()?
        } else {
            self.next_in_rotation(&ready.keys().cloned().collect(), now)?
        };
        let (index, endpoint) = ready.remove(&chosen)?;
        Some((chosen, index, endpoint))
    }

    /// Returns the first ready team with a positive deficit; starts rounds until there is one.
    fn next_in_rotation(&mut self, ready: &BTreeSet<TeamId>, now: MonotonicTime) -> Option<TeamId> {
        let quantum = self.settings.quantum.as_secs_f64();
        let mut fewest_rounds = u64::MAX;
        for team in ready {
            let queue = self.team_queue(team, now);
            if queue.deficit <= 0.0 {
                let rounds = (-queue.deficit / (quantum * queue.weight)).floor() as u64 + 1;
                fewest_rounds = fewest_rounds.min(rounds);
            } else {
                fewest_rounds = 0;
            }
        }
        if ready.is_empty() {
            return None;
        }
        if fewest_rounds > 0 {
            self.rounds += fewest_rounds;
            for team in ready {
                self.team_queue(team, now);
            }
        }
        let position = self.rotation.iter().position(|team| {
            ready.contains(team)
                && self
                    .teams
                    .get(team)
                    .is_some_and(|queue| queue.deficit > 0.0)
        })?;
        // Skipped teams move to the back; the served one stays first while its deficit lasts.
        self.rotation.rotate_left(position);
        self.rotation.front().cloned()
    }

    /// Returns the index and endpoint of a team's first request that an endpoint can run now.
    fn dispatchable(&self, team: &TeamId, now: MonotonicTime) -> Option<(usize, EndpointId)> {
        const LOOKAHEAD: usize = 16;
        let queue = self.teams.get(team)?;
        if queue.waiting.is_empty() || queue.running_total() >= self.team_limit(queue, now) {
            return None;
        }
        let others = self.others_active(team, now);
        let reserves = others && self.must_reserve(queue, now);
        let leaves_last_slot = reserves || (others && self.uses_above_share(queue, now));
        for (index, (_, request)) in queue.waiting.iter().enumerate().take(LOOKAHEAD) {
            let free = request.eligible.iter().filter(|endpoint| {
                self.endpoints.get(*endpoint).is_some_and(|slots| {
                    let held = queue.running.get(*endpoint).copied().unwrap_or(0);
                    let free = slots.slots.saturating_sub(slots.used);
                    // An endpoint with a single slot cannot leave one free.
                    let last = free == 1 && slots.slots > 1;
                    free > 0 && !(leaves_last_slot && last) && !(reserves && held > 0)
                })
            });
            let best = free.max_by_key(|endpoint| {
                let slots = &self.endpoints[*endpoint];
                let preferred = request
                    .eligible
                    .iter()
                    .position(|e| e == *endpoint)
                    .unwrap_or(0);
                (slots.slots - slots.used, std::cmp::Reverse(preferred))
            });
            if let Some(endpoint) = best {
                return Some((index, endpoint.clone()));
            }
        }
        None
    }

    /// Returns the maximum number of slots that a team may hold.
    fn team_limit(&self, queue: &TeamQueue, now: MonotonicTime) -> u32 {
        let total = self.total_slots();
        let teams = u32::try_from(self.teams.len().max(1)).unwrap_or(u32::MAX);
        match self.settings.order {
            QueueOrder::Arrival => total,
            QueueOrder::EvenSplit => (total / teams).max(1),
            QueueOrder::SlotTime if !self.must_reserve(queue, now) => total,
            QueueOrder::SlotTime if self.has_long_transactions(queue) => {
                self.fair_slots(queue, now).ceil() as u32
            }
            QueueOrder::SlotTime => (self.fair_slots(queue, now).floor() as u32).max(1),
        }
    }

    /// Returns whether a team must leave slots to others, because its transactions are long or it
    /// uses more than its fair number of slots.
    ///
    /// Transactions are not interrupted: a team that takes all slots while the others are idle
    /// would block them until its transactions end.
    fn must_reserve(&self, queue: &TeamQueue, now: MonotonicTime) -> bool {
        let usage = queue.usage_now(self.settings.usage_window, now);
        self.settings.order == QueueOrder::SlotTime
            && self.settings.keeps_reserve
            && (self.has_long_transactions(queue)
                || usage > self.fair_slots(queue, now) * 1.1 + 0.3)
    }

    /// Returns whether a team uses well above its fair share of the slots in use. It may then not
    /// take the last free slot of an endpoint.
    fn uses_above_share(&self, queue: &TeamQueue, now: MonotonicTime) -> bool {
        let window = self.settings.usage_window;
        let total = self
            .teams
            .values()
            .map(|queue| queue.usage_now(window, now))
            .sum::<f64>();
        let weights = self.active_weight(now).max(queue.weight);
        self.settings.order == QueueOrder::SlotTime
            && self.settings.keeps_reserve
            && queue.usage_now(window, now) > total * queue.weight / weights * 1.5 + 0.3
    }

    fn fair_slots(&self, queue: &TeamQueue, now: MonotonicTime) -> f64 {
        let weights = self.active_weight(now).max(queue.weight);
        f64::from(self.total_slots()) * queue.weight / weights
    }

    fn has_long_transactions(&self, queue: &TeamQueue) -> bool {
        let others = self.mean_slot_time(Some(queue));
        queue
            .mean
            .is_some_and(|mean| mean > others * self.settings.long_factor)
    }

    fn others_active(&self, team: &TeamId, now: MonotonicTime) -> bool {
        let active = |queue: &TeamQueue| {
            now.saturating_since(queue.last_active) < self.settings.active_window
        };
        self.teams
            .iter()
            .any(|(id, queue)| id != team && active(queue))
    }

    fn active_weight(&self, now: MonotonicTime) -> f64 {
        let active = |queue: &&TeamQueue| {
            now.saturating_since(queue.last_active) < self.settings.active_window
        };
        self.teams
            .values()
            .filter(active)
            .map(|queue| queue.weight)
            .sum()
    }

    /// Returns the mean slot time over all teams but `except`, in seconds; by default the quantum.
    fn mean_slot_time(&self, except: Option<&TeamQueue>) -> f64 {
        let mut sum = 0.0;
        let mut count = 0;
        for queue in self.teams.values() {
            if except.is_some_and(|e| std::ptr::eq(e, queue)) {
                continue;
            }
            if let Some(mean) = queue.mean {
                sum += mean;
                count += 1;
            }
        }
        if count == 0 {
            self.settings.quantum.as_secs_f64()
        } else {
            sum / f64::from(count)
        }
    }

    fn total_slots(&self) -> u32 {
        self.endpoints.values().map(|slots| slots.slots).sum()
    }

    /// Returns a team's queue, credited up to the current round; adds a missing team.
    ///
    /// Rounds also pay off a negative deficit while the team is idle. Credit is limited to
    /// [`QueueSettings::credit_rounds`].
    fn team_queue(&mut self, team: &TeamId, now: MonotonicTime) -> &mut TeamQueue {
        if !self.teams.contains_key(team) {
            self.rotation.push_back(team.clone());
        }
        let rounds = self.rounds;
        let quantum = self.settings.quantum.as_secs_f64();
        let credit_rounds = self.settings.credit_rounds;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight: 1.0,
            waiting: VecDeque::new(),
            deficit: 0.0,
            round: rounds,
            mean: None,
            running: BTreeMap::new(),
            last_active: now,
            usage: 0.0,
            usage_at: now,
        });
        let step = quantum * queue.weight;
        let grown = queue.deficit + (rounds - queue.round) as f64 * step;
        queue.deficit = grown.min((step * credit_rounds).max(queue.deficit));
        queue.round = rounds;
        queue
    }
}
