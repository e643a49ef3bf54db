//! Scenario files: INI with the sections `[model]`, `[engines]`, `[service]`, `[kind NAME]` and
//! `[trouble NAME]`. With `[base]` and `file = NAME` they add to another file of their folder.

use std::{fmt, path::Path, str::FromStr};

use cyc_types::Millis;
use ini::{Ini, Properties};
use smol_str::{SmolStr, format_smolstr};
use strum::{Display, EnumString};

/// What is wrong with a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScenarioError {
    /// The file cannot be read; the text says why.
    Unreadable(SmolStr),
    /// The text is not INI.
    Syntax(SmolStr),
    /// A section is missing or not known.
    Section(SmolStr),
    /// A value is missing or not allowed.
    Value {
        /// The section.
        section: SmolStr,
        /// The key.
        key: SmolStr,
        /// The value that was given, empty if none was.
        given: SmolStr,
    },
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the scenario cannot be read: {why}"),
            Self::Syntax(why) => write!(f, "the scenario is not INI: {why}"),
            Self::Section(name) => write!(f, "[{name}]: missing or not a section of scenarios"),
            Self::Value {
                section,
                key,
                given,
            } => write!(f, "[{section}] {key}: `{given}` is not allowed"),
        }
    }
}

impl std::error::Error for ScenarioError {}

/// `[engines]`: engines that all are alike.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Engines, spread over the availability zones in turn.
    pub count: usize,
    /// Requests that one runs at a time.
    pub slots: u32,
    /// Requests that wait at one before it refuses.
    pub queue: usize,
    /// Tokens that its memory holds, of running requests and cached starts.
    pub memory_tokens: u64,
    /// Time of an empty step, in ms.
    pub step_ms: f64,
    /// Time of a step for each running request, in ms.
    pub step_ms_per_slot: f64,
    /// Time of a step for each 1,000 tokens of running requests, in ms.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are read in a ms.
    pub prompt_tokens_per_ms: f64,
    /// Prompt tokens that one step reads at most.
    pub chunk_tokens: u64,
    /// Time that every answer takes besides, in ms.
    pub first_ms: f64,
    /// Tokens of one event.
    pub tokens_per_event: u64,
}

/// `[service]`: a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its targets.
    pub count: usize,
    /// Requests that one runs at a time.
    pub slots: u32,
    /// Requests that wait at one before it refuses.
    pub queue: usize,
}

/// A part of prompts that several requests share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedPart {
    /// Its size in tokens.
    pub tokens: u64,
    /// How many different ones there are.
    pub things: u64,
}

/// What requests of a kind ask for.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A generation.
    Generation {
        /// Mean of the tokens that no other request shares.
        own_tokens: u64,
        /// The parts that requests share, in order.
        shared: Vec<SharedPart>,
        /// Mean of the events of the answer.
        events: u64,
    },
    /// A call of the plain service, of this mean time in ms.
    Call(f64),
}

/// `[kind NAME]`: a kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: SmolStr,
    /// Requests a second, over all entries.
    pub per_s: f64,
    /// What they ask for.
    pub work: Work,
    /// The first piece is in time within this.
    pub objective: Millis,
    /// The longest pause between two pieces.
    pub pause: Millis,
    /// When the caller leaves.
    pub deadline: Millis,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Worth of a late answer.
    pub late_worth: f64,
    /// Times that a caller comes back after a refusal.
    pub retries: u32,
    /// Targets that one try may be sent to, as long as none has answered.
    pub attempts: u32,
}

/// `[trouble NAME]`: something that happens for a while.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    /// What happens.
    pub what: What,
    /// When it begins.
    pub at: Millis,
    /// How long it lasts.
    pub span: Millis,
    /// The part of the things that it concerns.
    pub share: f64,
    /// How strong it is.
    pub x: f64,
    /// The kind of request that it concerns; all if `None`.
    pub kind: Option<SmolStr>,
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum What {
    /// `x` times the requests.
    Burst,
    /// `share` of the requests are about one thing.
    HotThing,
    /// `share` of the requests come from one account.
    HotAccount,
    /// `share` of the callers come back at once, `x` times more.
    RetryStorm,
    /// `share` of the engines take no connections.
    EnginesDead,
    /// `share` of the engines take `x` times as long.
    EnginesSlow,
    /// `share` of the engines break off `x` of their requests.
    EnginesGrey,
}

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// How long requests come.
    pub length: Millis,
    /// Entries; callers stay with one.
    pub entries: usize,
    /// Availability zones, which entries and targets are spread over in turn.
    pub zones: usize,
    /// Client accounts; the first of them has the most requests.
    pub accounts: u64,
    /// Time between a client and an entry, one way, in ms.
    pub caller_ms: f64,
    /// Time between two availability zones, one way, in ms.
    pub zone_ms: f64,
    /// Age of the load that an engine reports.
    pub report_lag: Millis,
    /// The engines.
    pub engines: EngineSpec,
    /// The plain service.
    pub service: ServiceSpec,
    /// The kinds of request. Invariant: not empty.
    pub kinds: Vec<Kind>,
    /// What happens.
    pub troubles: Vec<Trouble>,
}

impl Scenario {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// The first fault of the file.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = read(path)?;
        let ini = parse_ini(&text)?;
        let base = ini.section(Some(BASE)).and_then(|base| base.get("file"));
        match base {
            Some(base) => {
                let base = read(&path.with_file_name(base))?;
                Self::parse(&format!("{base}\n{text}"))
            }
            None => Self::parse(&text),
        }
    }

    /// Reads `text`.
    ///
    /// # Errors
    /// The first fault of the text.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let ini = parse_ini(text)?;
        let mut kinds = Vec::new();
        let mut troubles = Vec::new();
        for (name, properties) in &ini {
            let Some(name) = name else { continue };
            let section = Section { name, properties };
            match name.split_once(' ') {
                Some(("kind", kind)) => kinds.push(section.kind(kind)?),
                Some(("trouble", _)) => troubles.push(section.trouble()?),
                None if matches!(name, BASE | "model" | "engines" | "service") => {}
                _ => return Err(ScenarioError::Section(name.into())),
            }
        }
        if kinds.is_empty() {
            return Err(ScenarioError::Section("kind NAME".into()));
        }
        let model = Section::find(&ini, "model")?;
        let service = Section::find(&ini, "service")?;
        Ok(Self {
            length: Millis::new(model.number("length_ms")?),
            entries: model.number::<usize>("entries")?.max(1),
            zones: model.number::<usize>("zones")?.max(1),
            accounts: model.number::<u64>("accounts")?.max(1),
            caller_ms: model.number("caller_ms")?,
            zone_ms: model.number("zone_ms")?,
            report_lag: Millis::new(model.number("report_lag_ms")?),
            engines: Section::find(&ini, "engines")?.engines()?,
            service: ServiceSpec {
                count: service.number("count")?,
                slots: service.number("slots")?,
                queue: service.number("queue")?,
            },
            kinds,
            troubles,
        })
    }
}

/// The section that names the file to which a scenario adds.
const BASE: &str = "base";

fn read(path: &Path) -> Result<String, ScenarioError> {
    std::fs::read_to_string(path)
        .map_err(|error| ScenarioError::Unreadable(format_smolstr!("{}: {error}", path.display())))
}

fn parse_ini(text: &str) -> Result<Ini, ScenarioError> {
    Ini::load_from_str(text).map_err(|error| ScenarioError::Syntax(format_smolstr!("{error}")))
}

/// One section of the file.
struct Section<'a> {
    name: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    fn find(ini: &'a Ini, name: &'a str) -> Result<Self, ScenarioError> {
        let properties = ini.section(Some(name));
        let properties = properties.ok_or_else(|| ScenarioError::Section(name.into()))?;
        Ok(Self { name, properties })
    }

    fn number<T: FromStr>(&self, key: &str) -> Result<T, ScenarioError> {
        let given = self.properties.get(key).unwrap_or_default();
        given.trim().parse().map_err(|_| self.fault(key, given))
    }

    fn number_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, ScenarioError> {
        match self.properties.contains_key(key) {
            true => self.number(key),
            false => Ok(default),
        }
    }

    fn fault(&self, key: &str, given: &str) -> ScenarioError {
        ScenarioError::Value {
            section: self.name.into(),
            key: key.into(),
            given: given.into(),
        }
    }

    fn engines(&self) -> Result<EngineSpec, ScenarioError> {
        Ok(EngineSpec {
            count: self.number("count")?,
            slots: self.number("slots")?,
            queue: self.number("queue")?,
            memory_tokens: self.number("memory_tokens")?,
            step_ms: self.number("step_ms")?,
            step_ms_per_slot: self.number("step_ms_per_slot")?,
            context_ms_per_k: self.number("context_ms_per_k")?,
            prompt_tokens_per_ms: self.number("prompt_tokens_per_ms")?,
            chunk_tokens: self.number("chunk_tokens")?,
            first_ms: self.number("first_ms")?,
            tokens_per_event: self.number("tokens_per_event")?,
        })
    }

    fn kind(&self, name: &str) -> Result<Kind, ScenarioError> {
        let work = if self.properties.contains_key("work_ms") {
            Work::Call(self.number("work_ms")?)
        } else {
            Work::Generation {
                own_tokens: self.number("own_tokens")?,
                shared: self.shared()?,
                events: self.number("events")?,
            }
        };
        Ok(Kind {
            name: name.into(),
            per_s: self.number("per_s")?,
            work,
            objective: Millis::new(self.number("objective_ms")?),
            pause: Millis::new(self.number_or("pause_ms", 500)?),
            deadline: Millis::new(self.number("deadline_ms")?),
            worth: self.number("worth")?,
            late_worth: self.number_or("late_worth", 0.0)?,
            retries: self.number_or("retries", 0)?,
            attempts: self.number_or("attempts", 1)?,
        })
    }

    /// Reads `shared = TOKENS x THINGS, ...`.
    fn shared(&self) -> Result<Vec<SharedPart>, ScenarioError> {
        let given = self.properties.get("shared").unwrap_or_default();
        let part = |text: &str| {
            let (tokens, things) = text.split_once('x')?;
            Some(SharedPart {
                tokens: tokens.trim().parse().ok()?,
                things: things.trim().parse().ok().filter(|things| *things > 0)?,
            })
        };
        let texts = given.split(',').filter(|text| !text.trim().is_empty());
        let parts: Option<Vec<SharedPart>> = texts.map(part).collect();
        parts.ok_or_else(|| self.fault("shared", given))
    }

    fn trouble(&self) -> Result<Trouble, ScenarioError> {
        let kind = self.properties.get("kind").map(SmolStr::new);
        Ok(Trouble {
            what: self.number("what")?,
            at: Millis::new(self.number("at_ms")?),
            span: Millis::new(self.number("for_ms")?),
            share: self.number_or("share", 1.0)?,
            x: self.number_or("x", 1.0)?,
            kind,
        })
    }
}
