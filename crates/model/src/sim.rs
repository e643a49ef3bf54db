//! One seed of a scenario under one policy.

use std::collections::HashSet;

use cyc_gateway::{
    choose::Choice,
    fleet::{Load, Read, Verdict},
    proxy::{MAX_CONNECTS, RETRY_AFTER_TARGET},
};
use cyc_types::Millis;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};

use crate::{
    engine::{Engine, Step, Work},
    entry::{self, Entry, Policy, Service},
    plain::PlainTarget,
    queue::Queue,
    report::{Answer, Outcome, Report},
    scenario::{Kind, Scenario, Trouble, What},
    traffic::{self, Request},
};

/// After a refusal, a caller of a retry storm comes back in this time.
const STORM_MS: f64 = 20.0;
/// Tells the random numbers of the run from those of its requests.
const RUN_SALT: u64 = 0x5eed;

/// Plays one seed.
pub fn run(scenario: &Scenario, seed: u64, policy: Policy) -> Report {
    let mut sim = Sim::new(scenario, seed, policy);
    while let Some(event) = sim.queue.take() {
        sim.apply(event);
    }
    let works: Vec<Work> = sim.engines.iter().map(|state| state.engine.work).collect();
    sim.report.set_work(&works);
    sim.report
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request reaches its entry.
    Arrive(usize),
    /// A send reaches its target.
    Reach(usize),
    /// An engine's step ends.
    StepEnd { engine: usize, epoch: u64 },
    /// A call ends at its target.
    CallEnd(usize),
    /// A piece of an answer reaches the caller.
    Piece { send: usize, is_last: bool },
    /// The entry notices that a send failed.
    Failed { send: usize, verdict: Verdict },
    /// The caller of a request leaves.
    Leave(usize),
    /// A trouble begins or ends.
    Trouble { index: usize, begins: bool },
}

/// One send of a request; its number is that of the job at the target.
#[derive(Debug)]
struct Send {
    request: usize,
    target: usize,
    sent_ms: f64,
    choice: Choice,
    is_over: bool,
    has_begun: bool,
    /// Tokens that were made and do not fill an event yet.
    tokens: u64,
}

/// What became of a request so far.
#[derive(Debug, Default)]
struct Progress {
    /// Times that its caller came back.
    returns: u32,
    first_ms: Option<f64>,
    piece_ms: f64,
    longest_pause_ms: f64,
    tried: Vec<usize>,
    connects: u32,
    /// The send that may still answer.
    send: Option<usize>,
    is_over: bool,
}

struct EngineState {
    engine: Engine,
    /// The step that is being done.
    step: Option<Step>,
    /// Number of the engine's starts; steps of an earlier start say nothing.
    epoch: u64,
    is_dead: bool,
    /// The part of its requests that it breaks off.
    broken_part: f64,
    load: Load,
    load_ms: f64,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    requests: Vec<Request>,
    progress: Vec<Progress>,
    sends: Vec<Send>,
    entries: Vec<Entry>,
    engines: Vec<EngineState>,
    plain: Vec<PlainTarget>,
    /// Leading parts that some engine has read.
    known: HashSet<u64>,
    queue: Queue<Event>,
    rng: StdRng,
    report: Report,
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, seed: u64, policy: Policy) -> Self {
        let requests = traffic::draw(scenario, seed);
        let mut queue = Queue::default();
        for (index, request) in requests.iter().enumerate() {
            queue.add(request.at_ms + scenario.caller_ms, Event::Arrive(index));
            let deadline = scenario.kinds[request.kind].deadline.get() as f64;
            queue.add(request.at_ms + deadline, Event::Leave(index));
        }
        for (index, trouble) in scenario.troubles.iter().enumerate() {
            let at_ms = trouble.at.get() as f64;
            let end_ms = at_ms + trouble.span.get() as f64;
            for (at_ms, begins) in [(at_ms, true), (end_ms, false)] {
                queue.add(at_ms, Event::Trouble { index, begins });
            }
        }
        let engine = || EngineState {
            engine: Engine::new(scenario.engines.clone()),
            step: None,
            epoch: 0,
            is_dead: false,
            broken_part: 0.0,
            load: Load::default(),
            load_ms: 0.0,
        };
        let plain = || PlainTarget::new(scenario.service.clone());
        let entry = |number| Entry::new(scenario, number, policy);
        Self {
            scenario,
            progress: requests.iter().map(|_| Progress::default()).collect(),
            requests,
            sends: Vec::new(),
            entries: (0..scenario.entries).map(entry).collect(),
            engines: (0..scenario.engines.count).map(|_| engine()).collect(),
            plain: (0..scenario.service.count).map(|_| plain()).collect(),
            known: HashSet::new(),
            queue,
            rng: StdRng::seed_from_u64(seed ^ RUN_SALT),
            report: Report::new(scenario),
        }
    }

    fn now(&self) -> Millis {
        Millis::new(self.queue.now_ms() as u64)
    }

    fn kind(&self, request: usize) -> &'a Kind {
        &self.scenario.kinds[self.requests[request].kind]
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Reach(send) => self.reach(send),
            Event::StepEnd { engine, epoch } => self.end_step(engine, epoch),
            Event::CallEnd(send) => self.end_call(send),
            Event::Piece { send, is_last } => self.piece(send, is_last),
            Event::Failed { send, verdict } => self.fail(send, verdict),
            Event::Leave(request) => self.leave(request),
            Event::Trouble { index, begins } => self.trouble(index, begins),
        }
    }
}

/// Entries and callers.
impl Sim<'_> {
    fn arrive(&mut self, request: usize) {
        let progress = &mut self.progress[request];
        if progress.is_over {
            return;
        }
        progress.tried.clear();
        progress.connects = 0;
        self.send(request);
    }

    fn service(&self, request: usize) -> Service {
        match self.requests[request].prompt {
            Some(_) => Service::Engines,
            None => Service::Plain,
        }
    }

    fn send(&mut self, request: usize) {
        let now = self.now();
        let service = self.service(request);
        let asked = &self.requests[request];
        let entry = &mut self.entries[asked.entry];
        let tried = &self.progress[request].tried;
        let chosen = entry.choose(service, asked.prompt.as_ref(), tried, now);
        let Some((target, choice)) = chosen else {
            return self.refuse(request);
        };
        entry.start(target, choice.uncached, now);
        if tried.is_empty() {
            entry.first(service, now);
        }
        let send = self.sends.len();
        let progress = &mut self.progress[request];
        progress.tried.push(target);
        progress.send = Some(send);
        self.sends.push(Send {
            request,
            target,
            sent_ms: self.queue.now_ms(),
            choice,
            is_over: false,
            has_begun: false,
            tokens: 0,
        });
        self.queue.add(self.hop_ms(send), Event::Reach(send));
    }

    /// Returns the time between the entry and the target of a send, one way.
    fn hop_ms(&self, send: usize) -> f64 {
        let send = &self.sends[send];
        let entry = self.requests[send.request].entry;
        let zone = |number| entry::zone_number(self.scenario, number);
        match zone(entry) == zone(send.target) {
            true => 0.0,
            false => self.scenario.zone_ms,
        }
    }

    fn fail(&mut self, send: usize, verdict: Verdict) {
        let Some(request) = self.end_send(send, verdict) else {
            return;
        };
        let service = self.service(request);
        let now = self.now();
        let progress = &mut self.progress[request];
        let is_unsent = verdict == Verdict::NotReached;
        progress.connects += u32::from(is_unsent);
        let sends = progress.tried.len() as u32 - progress.connects;
        let may_repeat = match verdict {
            Verdict::NotReached => progress.connects < MAX_CONNECTS,
            _ => {
                let entry = &mut self.entries[self.requests[request].entry];
                sends < self.scenario.kinds[self.requests[request].kind].attempts
                    && progress.first_ms.is_none()
                    && entry.take_repeat(service, now)
            }
        };
        match verdict {
            _ if may_repeat => self.send(request),
            Verdict::NotReached | Verdict::Full => self.refuse(request),
            _ => self.finish(request, Outcome::Failed),
        }
    }

    /// Answers that the request was not run; its caller may come back.
    fn refuse(&mut self, request: usize) {
        let storm = self.requests[request].storm;
        let most = self.kind(request).retries + storm;
        let progress = &mut self.progress[request];
        if progress.returns >= most {
            return self.finish(request, Outcome::Refused);
        }
        progress.returns += 1;
        let pause_ms = match storm {
            // As the product spreads it.
            0 => RETRY_AFTER_TARGET.get() as f64 * (1.0 + self.rng.random::<f64>()),
            _ => STORM_MS,
        };
        let after_ms = pause_ms + 2.0 * self.scenario.caller_ms;
        self.queue.add(after_ms, Event::Arrive(request));
    }

    fn leave(&mut self, request: usize) {
        if self.progress[request].is_over {
            return;
        }
        if let Some(send) = self.progress[request].send {
            let target = self.sends[send].target;
            self.end_send(send, Verdict::Abandoned);
            match entry::service_of(self.scenario, target) {
                Service::Engines => self.engines[target].engine.cancel(send),
                Service::Plain => {
                    self.plain[target - self.scenario.engines.count].end(send);
                    self.start_calls(target);
                }
            }
        }
        let outcome = match self.progress[request].returns {
            0 => Outcome::Failed,
            _ => Outcome::Refused,
        };
        self.finish(request, outcome);
    }

    fn piece(&mut self, send: usize, is_last: bool) {
        if self.sends[send].is_over {
            return;
        }
        let now_ms = self.queue.now_ms();
        let request = self.sends[send].request;
        let progress = &mut self.progress[request];
        if progress.first_ms.is_some() {
            let pause_ms = now_ms - progress.piece_ms;
            progress.longest_pause_ms = progress.longest_pause_ms.max(pause_ms);
        }
        progress.first_ms.get_or_insert(now_ms);
        progress.piece_ms = now_ms;
        self.note_read(send);
        if is_last {
            self.end_send(send, Verdict::Answered);
            self.finish(request, Outcome::Answered);
        }
    }

    fn note_read(&mut self, send: usize) {
        let now = self.now();
        let sent = &mut self.sends[send];
        if std::mem::replace(&mut sent.has_begun, true) {
            return;
        }
        let load = match entry::service_of(self.scenario, sent.target) {
            Service::Engines => self.engines[sent.target].load,
            Service::Plain => {
                let target = &self.plain[sent.target - self.scenario.engines.count];
                let (running, waiting) = target.load();
                Load {
                    running,
                    waiting,
                    slots: self.scenario.service.slots,
                }
            }
        };
        let asked = &self.requests[sent.request];
        let read = Read {
            uncached: sent.choice.uncached,
            prompt: asked.prompt.as_ref(),
            took: Millis::new((self.queue.now_ms() - sent.sent_ms) as u64),
            expected: sent.choice.estimate,
        };
        self.entries[asked.entry].read(sent.target, &read, load, now);
    }

    /// Ends a send once, and returns its request.
    fn end_send(&mut self, send: usize, verdict: Verdict) -> Option<usize> {
        let now = self.now();
        let sent = &mut self.sends[send];
        if std::mem::replace(&mut sent.is_over, true) {
            return None;
        }
        let unread = match sent.has_begun {
            true => 0,
            false => sent.choice.uncached,
        };
        let entry = self.requests[sent.request].entry;
        self.entries[entry].end(sent.target, unread, verdict, now);
        self.progress[sent.request].send = None;
        Some(sent.request)
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        let progress = &mut self.progress[request];
        if std::mem::replace(&mut progress.is_over, true) {
            return;
        }
        let asked = &self.requests[request];
        let answer = Answer {
            kind: asked.kind,
            account: asked.account,
            zone: entry::zone_number(self.scenario, asked.entry),
            asked_ms: asked.at_ms,
            outcome,
            first_ms: progress.first_ms.map(|at_ms| at_ms - asked.at_ms),
            longest_pause_ms: progress.longest_pause_ms,
        };
        self.report.add(self.scenario, &answer);
    }
}

/// Targets.
impl Sim<'_> {
    fn reach(&mut self, send: usize) {
        if self.sends[send].is_over {
            return;
        }
        let target = self.sends[send].target;
        let request = self.sends[send].request;
        let hop_ms = self.hop_ms(send);
        let failed = |verdict| Event::Failed { send, verdict };
        let Some(prompt) = &self.requests[request].prompt else {
            let work_ms = self.requests[request].work_ms;
            let number = target - self.scenario.engines.count;
            if !self.plain[number].push(send, work_ms) {
                self.queue.add(hop_ms, failed(Verdict::Full));
            }
            return self.start_calls(target);
        };
        let state = &mut self.engines[target];
        if state.is_dead {
            return self.queue.add(hop_ms, failed(Verdict::NotReached));
        }
        if state.broken_part > 0.0 && self.rng.random::<f64>() < state.broken_part {
            return self.queue.add(hop_ms, failed(Verdict::Failed));
        }
        let output = self.requests[request].output;
        if !state.engine.push(send, prompt, output) {
            return self.queue.add(hop_ms, failed(Verdict::Full));
        }
        self.start_step(target);
    }

    fn start_step(&mut self, number: usize) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.engines[number];
        if state.step.is_some() || state.engine.is_idle() {
            return;
        }
        let known = &mut self.known;
        let step = state.engine.step(now_ms, &mut |part| !known.insert(part));
        let epoch = state.epoch;
        let engine = number;
        let took_ms = step.took_ms;
        state.step = Some(step);
        self.queue.add(took_ms, Event::StepEnd { engine, epoch });
    }

    fn end_step(&mut self, number: usize, epoch: u64) {
        let now_ms = self.queue.now_ms();
        let state = &mut self.engines[number];
        let Some(step) = state.step.take_if(|_| state.epoch == epoch) else {
            return;
        };
        if now_ms - state.load_ms >= self.scenario.report_lag.get() as f64 {
            let (running, waiting) = state.engine.load();
            state.load_ms = now_ms;
            state.load = Load {
                running,
                waiting,
                slots: self.scenario.engines.slots,
            };
        }
        for (send, is_last) in step.tokens {
            let sent = &mut self.sends[send];
            sent.tokens += 1;
            if sent.tokens < self.scenario.engines.tokens_per_event && !is_last {
                continue;
            }
            sent.tokens = 0;
            let way_ms = self.scenario.engines.first_ms + self.hop_ms(send);
            let after_ms = way_ms + self.scenario.caller_ms;
            self.queue.add(after_ms, Event::Piece { send, is_last });
        }
        self.start_step(number);
    }

    fn start_calls(&mut self, target: usize) {
        let number = target - self.scenario.engines.count;
        for (send, work_ms) in self.plain[number].start() {
            self.queue.add(work_ms, Event::CallEnd(send));
        }
    }

    fn end_call(&mut self, send: usize) {
        let target = self.sends[send].target;
        if self.plain[target - self.scenario.engines.count].end(send) {
            let after_ms = self.hop_ms(send) + self.scenario.caller_ms;
            let is_last = true;
            self.queue.add(after_ms, Event::Piece { send, is_last });
        }
        self.start_calls(target);
    }

    fn trouble(&mut self, index: usize, begins: bool) {
        let trouble = &self.scenario.troubles[index];
        let struck = match trouble.what {
            What::EnginesDead | What::EnginesSlow | What::EnginesGrey => {
                self.struck(trouble, index)
            }
            What::Burst | What::HotThing | What::HotAccount | What::RetryStorm => return,
        };
        for number in struck {
            let state = &mut self.engines[number];
            match trouble.what {
                What::EnginesSlow => state.engine.slowness = if begins { trouble.x } else { 1.0 },
                What::EnginesGrey => state.broken_part = if begins { trouble.x } else { 0.0 },
                _ if begins => {
                    state.is_dead = true;
                    state.epoch += 1;
                    state.step = None;
                    for send in state.engine.clear() {
                        let verdict = Verdict::Failed;
                        self.queue.add(0.0, Event::Failed { send, verdict });
                    }
                }
                _ => state.is_dead = false,
            }
        }
    }

    /// Returns the engines that a trouble concerns: the same at its begin and its end.
    fn struck(&self, trouble: &Trouble, index: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.engines.len()).collect();
        all.shuffle(&mut StdRng::seed_from_u64(index as u64));
        let count = (trouble.share * all.len() as f64).round() as usize;
        all.truncate(count);
        all
    }
}
