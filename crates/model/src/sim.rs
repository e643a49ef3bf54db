//! Runs a scenario with one seed under one policy.

use std::collections::HashSet;

use cyc_gateway::{
    choose::Choice,
    fleet::{FinishedPrefill, Load, Verdict},
    proxy::{MAX_CONNECTS, RETRY_AFTER_TARGET},
    timely::Pauses,
};
use cyc_types::Millis;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};

use crate::{
    engine::{Engine, PromptTokens, Step},
    entry::{self, Bounds, Entry, Policy, Service},
    plain::PlainTarget,
    queue::EventQueue,
    report::{Outcome, Report, RequestResult},
    scenario::{Disturbance, DisturbanceKind, Kind, Scenario, Spells},
    traffic::{self, Request},
};

/// Delay after which a caller in a retry storm retries a refused request.
const STORM_RETRY_MS: f64 = 20.0;
/// Mixed into the seed, so that the run draws other random numbers than the generation of requests.
const RUN_SEED_SALT: u64 = 0x5eed;

/// Runs the scenario until no events are left.
pub fn run(scenario: &Scenario, seed: u64, policy: Policy) -> Report {
    let mut sim = Sim::new(scenario, seed, policy);
    while let Some(event) = sim.queue.pop() {
        sim.process(event);
    }
    let prompt_tokens: Vec<PromptTokens> = sim
        .engines
        .iter()
        .map(|state| state.engine.prompt_tokens)
        .collect();
    sim.report.set_prompt_tokens(&prompt_tokens);
    sim.report
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request arrives at its entry.
    Arrive(usize),
    /// An attempt reaches its target.
    ReachTarget(usize),
    /// A step of an engine ends.
    StepEnd { engine: usize, epoch: u64 },
    /// A target of the plain service has served a call.
    CallEnd(usize),
    /// A piece of an answer reaches the caller: an event of a stream, or the whole answer of a call.
    Piece { attempt: usize, is_last: bool },
    /// The entry learns that an attempt failed.
    Failed { attempt: usize, verdict: Verdict },
    /// The deadline of a request passes and its caller disconnects.
    Deadline(usize),
    /// A disturbance starts or ends.
    Disturbance { index: usize, is_start: bool },
}

/// One attempt of an entry to have a request served. Its index is the job id at the target.
#[derive(Debug)]
struct Attempt {
    request: usize,
    target: usize,
    sent_ms: f64,
    choice: Choice,
    is_finished: bool,
    has_first_piece: bool,
    /// Decoded tokens that do not fill an event yet.
    buffered_tokens: u64,
}

/// The state of a request.
#[derive(Debug, Default)]
struct Progress {
    /// Retries by its caller so far.
    retries: u32,
    first_ms: Option<f64>,
    last_piece_ms: f64,
    longest_pause_ms: f64,
    /// Targets attempted in the caller's current try.
    tried: Vec<usize>,
    /// Attempts in the caller's current try that did not reach their target.
    failed_connects: u32,
    /// The attempt in flight.
    attempt: Option<usize>,
    is_finished: bool,
}

struct EngineState {
    engine: Engine,
    /// The step in progress.
    step: Option<Step>,
    /// Incremented by a crash; the ends of steps from before the crash are ignored.
    epoch: u64,
    is_down: bool,
    /// Fraction of its requests that fail.
    failure_rate: f64,
    reported_load: Load,
    /// Time of the last update of `reported_load`.
    reported_ms: f64,
    /// Factor on the duration of steps without other work on the machine.
    pace: f64,
    is_in_spell: bool,
    spell_changes_ms: f64,
}

impl EngineState {
    fn pace(&self, spells: Option<Spells>) -> f64 {
        match spells.filter(|_| self.is_in_spell) {
            Some(spells) => self.pace * spells.factor,
            None => self.pace,
        }
    }

    /// Starts and ends spells up to `now_ms`.
    fn update_spell(&mut self, spells: Spells, now_ms: f64, rng: &mut StdRng) {
        while self.spell_changes_ms <= now_ms {
            self.is_in_spell = !self.is_in_spell && self.spell_changes_ms > 0.0;
            let mean_ms = match self.is_in_spell {
                true => spells.mean_ms,
                false => spells.mean_ms * (1.0 - spells.share) / spells.share.max(0.001),
            };
            let draw: f64 = rng.random();
            self.spell_changes_ms += (-(1.0 - draw).ln() * mean_ms).max(1.0);
        }
    }
}

struct Sim<'a> {
    scenario: &'a Scenario,
    requests: Vec<Request>,
    progress: Vec<Progress>,
    attempts: Vec<Attempt>,
    entries: Vec<Entry>,
    engines: Vec<EngineState>,
    plain: Vec<PlainTarget>,
    /// Keys of the shared prefixes that some engine has prefilled or is about to prefill.
    prefilled_keys: HashSet<u64>,
    queue: EventQueue<Event>,
    rng: StdRng,
    report: Report,
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, seed: u64, policy: Policy) -> Self {
        let requests = traffic::generate(scenario, seed);
        let mut queue = EventQueue::default();
        for (index, request) in requests.iter().enumerate() {
            queue.schedule(request.sent_ms + scenario.caller_ms, Event::Arrive(index));
            let deadline = scenario.kinds[request.kind].deadline.get() as f64;
            queue.schedule(request.sent_ms + deadline, Event::Deadline(index));
        }
        for (index, disturbance) in scenario.disturbances.iter().enumerate() {
            let at_ms = disturbance.start.get() as f64;
            let end_ms = at_ms + disturbance.duration.get() as f64;
            for (at_ms, is_start) in [(at_ms, true), (end_ms, false)] {
                queue.schedule(at_ms, Event::Disturbance { index, is_start });
            }
        }
        let paces = scenario.engines.paces.iter().cycle();
        let engine = |pace: &f64| EngineState {
            engine: Engine::new(scenario.engines.clone()),
            step: None,
            epoch: 0,
            is_down: false,
            failure_rate: 0.0,
            reported_load: Load::default(),
            reported_ms: 0.0,
            pace: *pace,
            is_in_spell: false,
            spell_changes_ms: 0.0,
        };
        let plain = || PlainTarget::new(scenario.service.clone());
        let entry = |index| Entry::new(scenario, index, policy);
        Self {
            scenario,
            progress: requests.iter().map(|_| Progress::default()).collect(),
            requests,
            attempts: Vec::new(),
            entries: (0..scenario.entries).map(entry).collect(),
            engines: paces.take(scenario.engines.count).map(engine).collect(),
            plain: (0..scenario.service.count).map(|_| plain()).collect(),
            prefilled_keys: HashSet::new(),
            queue,
            rng: StdRng::seed_from_u64(seed ^ RUN_SEED_SALT),
            report: Report::new(scenario),
        }
    }

    fn now(&self) -> Millis {
        Millis::new(self.queue.now_ms() as u64)
    }

    fn kind(&self, request: usize) -> &'a Kind {
        &self.scenario.kinds[self.requests[request].kind]
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::ReachTarget(attempt) => self.reach_target(attempt),
            Event::StepEnd { engine, epoch } => self.end_step(engine, epoch),
            Event::CallEnd(attempt) => self.end_call(attempt),
            Event::Piece { attempt, is_last } => self.receive_piece(attempt, is_last),
            Event::Failed { attempt, verdict } => self.fail(attempt, verdict),
            Event::Deadline(request) => self.disconnect(request),
            Event::Disturbance { index, is_start } => self.change_disturbance(index, is_start),
        }
    }
}

// Callers and entries.
impl Sim<'_> {
    fn arrive(&mut self, request: usize) {
        let progress = &mut self.progress[request];
        if progress.is_finished {
            return;
        }
        progress.tried.clear();
        progress.failed_connects = 0;
        self.start_attempt(request);
    }

    fn service(&self, request: usize) -> Service {
        match self.requests[request].prompt {
            Some(_) => Service::Engines,
            None => Service::Plain,
        }
    }

    fn start_attempt(&mut self, request: usize) {
        let now = self.now();
        let service = self.service(request);
        let details = &self.requests[request];
        let entry = &mut self.entries[details.entry];
        let tried = &self.progress[request].tried;
        let kind = &self.scenario.kinds[details.kind];
        let bounds = Bounds {
            objective: kind.objective,
            pauses: Pauses {
                longest: kind.pause,
                tokens_per_event: self.scenario.engines.tokens_per_event as u32,
            },
        };
        let prompt = details.prompt.as_ref();
        let chosen = entry.choose(service, prompt, bounds, tried, now);
        let Some((target, choice)) = chosen else {
            return self.refuse(request);
        };
        entry.start_attempt(target, prompt, choice.uncached, now);
        if tried.is_empty() {
            entry.record_first_attempt(service, now);
        }
        let attempt = self.attempts.len();
        let progress = &mut self.progress[request];
        progress.tried.push(target);
        progress.attempt = Some(attempt);
        self.attempts.push(Attempt {
            request,
            target,
            sent_ms: self.queue.now_ms(),
            choice,
            is_finished: false,
            has_first_piece: false,
            buffered_tokens: 0,
        });
        self.queue
            .schedule(self.hop_ms(attempt), Event::ReachTarget(attempt));
    }

    /// Returns the one-way latency between the entry and the target of an attempt, in ms.
    fn hop_ms(&self, attempt: usize) -> f64 {
        let attempt = &self.attempts[attempt];
        let entry = self.requests[attempt.request].entry;
        let zone = |index| entry::zone_index(self.scenario, index);
        match zone(entry) == zone(attempt.target) {
            true => 0.0,
            false => self.scenario.zone_ms,
        }
    }

    fn fail(&mut self, attempt: usize, verdict: Verdict) {
        let Some(request) = self.end_attempt(attempt, verdict) else {
            return;
        };
        let service = self.service(request);
        let now = self.now();
        let progress = &mut self.progress[request];
        let is_not_reached = verdict == Verdict::NotReached;
        progress.failed_connects += u32::from(is_not_reached);
        let attempts = progress.tried.len() as u32 - progress.failed_connects;
        let may_retry = match verdict {
            Verdict::NotReached => progress.failed_connects < MAX_CONNECTS,
            _ => {
                let entry = &mut self.entries[self.requests[request].entry];
                attempts < self.scenario.kinds[self.requests[request].kind].attempts
                    && progress.first_ms.is_none()
                    && entry.take_retry(service, now)
            }
        };
        match verdict {
            _ if may_retry => self.start_attempt(request),
            Verdict::NotReached | Verdict::Full => self.refuse(request),
            _ => self.finish(request, Outcome::Failed),
        }
    }

    /// Refuses a request. Its caller retries if it has retries left.
    fn refuse(&mut self, request: usize) {
        let storm_retries = self.requests[request].storm_retries;
        let max_retries = self.kind(request).retries + storm_retries;
        let progress = &mut self.progress[request];
        if progress.retries >= max_retries {
            return self.finish(request, Outcome::Refused);
        }
        progress.retries += 1;
        let retry_ms = match storm_retries {
            // The entry advises a random delay between one and two times this value.
            0 => RETRY_AFTER_TARGET.get() as f64 * (1.0 + self.rng.random::<f64>()),
            _ => STORM_RETRY_MS,
        };
        let after_ms = retry_ms + 2.0 * self.scenario.caller_ms;
        self.queue.schedule(after_ms, Event::Arrive(request));
    }

    fn disconnect(&mut self, request: usize) {
        if self.progress[request].is_finished {
            return;
        }
        if let Some(attempt) = self.progress[request].attempt {
            let target = self.attempts[attempt].target;
            self.end_attempt(attempt, Verdict::Abandoned);
            match entry::service_of(self.scenario, target) {
                Service::Engines => self.engines[target].engine.cancel(attempt),
                Service::Plain => {
                    self.plain[target - self.scenario.engines.count].remove(attempt);
                    self.start_calls(target);
                }
            }
        }
        let outcome = match self.progress[request].retries {
            0 => Outcome::Failed,
            _ => Outcome::Refused,
        };
        self.finish(request, outcome);
    }

    fn receive_piece(&mut self, attempt: usize, is_last: bool) {
        if self.attempts[attempt].is_finished {
            return;
        }
        let now_ms = self.queue.now_ms();
        let request = self.attempts[attempt].request;
        let progress = &mut self.progress[request];
        if progress.first_ms.is_some() {
            let pause_ms = now_ms - progress.last_piece_ms;
            progress.longest_pause_ms = progress.longest_pause_ms.max(pause_ms);
        }
        progress.first_ms.get_or_insert(now_ms);
        progress.last_piece_ms = now_ms;
        self.report_first_piece(attempt);
        if is_last {
            self.end_attempt(attempt, Verdict::Answered);
            self.finish(request, Outcome::Answered);
        }
    }

    fn report_first_piece(&mut self, attempt: usize) {
        let now = self.now();
        let state = &mut self.attempts[attempt];
        if std::mem::replace(&mut state.has_first_piece, true) {
            return;
        }
        let load = match entry::service_of(self.scenario, state.target) {
            Service::Engines => self.engines[state.target].reported_load,
            Service::Plain => {
                let target = &self.plain[state.target - self.scenario.engines.count];
                let (running, waiting) = target.load();
                Load {
                    running,
                    waiting,
                    slots: self.scenario.service.slots,
                    work_percent: None,
                }
            }
        };
        let details = &self.requests[state.request];
        let prefill = FinishedPrefill {
            uncached: state.choice.uncached,
            ahead: state.choice.ahead,
            prompt: details.prompt.as_ref(),
            took: Millis::new((self.queue.now_ms() - state.sent_ms) as u64),
            expected: state.choice.estimate,
        };
        self.entries[details.entry].record_first_piece(state.target, &prefill, load, now);
    }

    /// Ends an attempt and returns its request; `None` if it had already ended.
    fn end_attempt(&mut self, attempt: usize, verdict: Verdict) -> Option<usize> {
        let now = self.now();
        let state = &mut self.attempts[attempt];
        if std::mem::replace(&mut state.is_finished, true) {
            return None;
        }
        let pending_tokens = match state.has_first_piece {
            true => 0,
            false => state.choice.uncached,
        };
        let details = &self.requests[state.request];
        let prompt = details.prompt.as_ref();
        let entry = &mut self.entries[details.entry];
        entry.end_attempt(state.target, prompt, pending_tokens, verdict, now);
        self.progress[state.request].attempt = None;
        Some(state.request)
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        let progress = &mut self.progress[request];
        if std::mem::replace(&mut progress.is_finished, true) {
            return;
        }
        let details = &self.requests[request];
        let result = RequestResult {
            kind: details.kind,
            account: details.account,
            zone: entry::zone_index(self.scenario, details.entry),
            sent_ms: details.sent_ms,
            outcome,
            first_ms: progress.first_ms.map(|at_ms| at_ms - details.sent_ms),
            longest_pause_ms: progress.longest_pause_ms,
        };
        self.report.add(self.scenario, &result);
    }
}

// Targets and disturbances.
impl Sim<'_> {
    fn reach_target(&mut self, attempt: usize) {
        if self.attempts[attempt].is_finished {
            return;
        }
        let target = self.attempts[attempt].target;
        let request = self.attempts[attempt].request;
        let hop_ms = self.hop_ms(attempt);
        let failed = |verdict| Event::Failed { attempt, verdict };
        let Some(prompt) = &self.requests[request].prompt else {
            let service_ms = self.requests[request].service_ms;
            let index = target - self.scenario.engines.count;
            if !self.plain[index].enqueue(attempt, service_ms) {
                self.queue.schedule(hop_ms, failed(Verdict::Full));
            }
            return self.start_calls(target);
        };
        let state = &mut self.engines[target];
        if state.is_down {
            return self.queue.schedule(hop_ms, failed(Verdict::NotReached));
        }
        if state.failure_rate > 0.0 && self.rng.random::<f64>() < state.failure_rate {
            return self.queue.schedule(hop_ms, failed(Verdict::Failed));
        }
        let output_tokens = self.requests[request].output_tokens;
        if !state.engine.enqueue(attempt, prompt, output_tokens) {
            return self.queue.schedule(hop_ms, failed(Verdict::Full));
        }
        self.start_step(target);
    }

    fn start_step(&mut self, index: usize) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.engines[index];
        if state.step.is_some() || state.engine.is_idle() {
            return;
        }
        if let Some(spells) = self.scenario.engines.spells {
            state.update_spell(spells, now_ms, &mut self.rng);
        }
        let prefilled_keys = &mut self.prefilled_keys;
        let step = state
            .engine
            .step(now_ms, &mut |key| !prefilled_keys.insert(key));
        let epoch = state.epoch;
        let engine = index;
        let took_ms = step.took_ms * state.pace(self.scenario.engines.spells);
        state.step = Some(step);
        self.queue
            .schedule(took_ms, Event::StepEnd { engine, epoch });
    }

    fn end_step(&mut self, index: usize, epoch: u64) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.engines[index];
        let Some(step) = state.step.take_if(|_| state.epoch == epoch) else {
            return;
        };
        if now_ms - state.reported_ms >= self.scenario.report_lag.get() as f64 {
            let (running, waiting) = state.engine.load();
            let pace = state.pace(self.scenario.engines.spells);
            let work_percent = match self.scenario.engines.reports_pace {
                true => Some((pace * 100.0) as u32),
                false => None,
            };
            state.reported_ms = now_ms;
            state.reported_load = Load {
                running,
                waiting,
                slots: self.scenario.engines.slots,
                work_percent,
            };
        }
        for (attempt, is_last) in step.tokens {
            let stream = &mut self.attempts[attempt];
            stream.buffered_tokens += 1;
            if stream.buffered_tokens < self.scenario.engines.tokens_per_event && !is_last {
                continue;
            }
            stream.buffered_tokens = 0;
            let to_entry_ms = self.scenario.engines.event_delay_ms + self.hop_ms(attempt);
            let after_ms = to_entry_ms + self.scenario.caller_ms;
            self.queue
                .schedule(after_ms, Event::Piece { attempt, is_last });
        }
        self.start_step(index);
    }

    fn start_calls(&mut self, target: usize) {
        let index = target - self.scenario.engines.count;
        for (attempt, service_ms) in self.plain[index].start_waiting() {
            self.queue.schedule(service_ms, Event::CallEnd(attempt));
        }
    }

    fn end_call(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        if self.plain[target - self.scenario.engines.count].remove(attempt) {
            let after_ms = self.hop_ms(attempt) + self.scenario.caller_ms;
            let is_last = true;
            self.queue
                .schedule(after_ms, Event::Piece { attempt, is_last });
        }
        self.start_calls(target);
    }

    fn change_disturbance(&mut self, index: usize, is_start: bool) {
        let disturbance = &self.scenario.disturbances[index];
        let affected = match disturbance.kind {
            DisturbanceKind::EnginesDown
            | DisturbanceKind::EnginesSlow
            | DisturbanceKind::EnginesGrey => self.affected_engines(disturbance, index),
            DisturbanceKind::Burst
            | DisturbanceKind::HotPrefix
            | DisturbanceKind::HotAccount
            | DisturbanceKind::RetryStorm => return,
        };
        for engine in affected {
            let state = &mut self.engines[engine];
            match disturbance.kind {
                DisturbanceKind::EnginesSlow => {
                    state.engine.slowdown = if is_start { disturbance.magnitude } else { 1.0 }
                }
                DisturbanceKind::EnginesGrey => {
                    state.failure_rate = if is_start { disturbance.magnitude } else { 0.0 }
                }
                _ if is_start => {
                    state.is_down = true;
                    state.epoch += 1;
                    state.step = None;
                    for attempt in state.engine.crash() {
                        let verdict = Verdict::Failed;
                        self.queue.schedule(0.0, Event::Failed { attempt, verdict });
                    }
                }
                _ => state.is_down = false,
            }
        }
    }

    /// Returns the engines that a disturbance affects: the same ones at its start and its end.
    fn affected_engines(&self, disturbance: &Disturbance, index: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.engines.len()).collect();
        all.shuffle(&mut StdRng::seed_from_u64(index as u64));
        let count = (disturbance.share * all.len() as f64).round() as usize;
        all.truncate(count);
        all
    }
}
