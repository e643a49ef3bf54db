//! Scenario files: INI with the sections `[model]`, `[engines]`, `[service]`, `[kind NAME]` and
//! `[trouble NAME]`. A file with `file = NAME` in `[base]` extends another file in the same folder,
//! which cannot extend a further one.

use std::{fmt, path::Path, str::FromStr};

use cyc_types::Millis;
use ini::{Ini, Properties};
use smol_str::{SmolStr, format_smolstr};
use strum::{Display, EnumString};

/// Why a scenario file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScenarioError {
    /// The file cannot be read; the text gives its path and the I/O error.
    Unreadable(SmolStr),
    /// The text is not valid INI.
    Syntax(SmolStr),
    /// A section is missing or unknown.
    Section(SmolStr),
    /// A value is missing or not allowed.
    Value {
        /// Name of the section.
        section: SmolStr,
        /// Name of the key.
        key: SmolStr,
        /// The value given; empty if the key is missing.
        given: SmolStr,
    },
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the scenario cannot be read: {why}"),
            Self::Syntax(why) => write!(f, "the scenario is not valid INI: {why}"),
            Self::Section(name) => write!(f, "[{name}]: missing or unknown section"),
            Self::Value {
                section,
                key,
                given,
            } => write!(f, "[{section}] {key}: `{given}` is not allowed"),
        }
    }
}

impl std::error::Error for ScenarioError {}

/// `[engines]`: identical batching engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Engines, assigned to the availability zones round-robin.
    pub count: usize,
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Length of an engine's queue; further requests are refused.
    pub queue: usize,
    /// Tokens that fit in an engine's memory, for running requests and cached prompt prefixes.
    pub memory_tokens: u64,
    /// Fixed time of a step, in ms.
    pub step_ms: f64,
    /// Additional time of a step per decoding request, in ms.
    pub step_ms_per_slot: f64,
    /// Additional time of a step per 1,000 context tokens of running requests, in ms.
    pub context_ms_per_k: f64,
    /// Prefill rate.
    pub prompt_tokens_per_ms: f64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: u64,
    /// Constant delay of each event on top of the network latency, in ms.
    pub event_delay_ms: f64,
    /// Tokens that one event of a stream carries.
    pub tokens_per_event: u64,
    /// Factors on the time of steps; the engines take them in turns. Invariant: not empty.
    pub paces: Vec<f64>,
    /// Engines report the factor with their load.
    pub reports_pace: bool,
    /// Other work on the engines' machines, if there is any.
    pub spells: Option<Spells>,
}

/// Spells of other work on the machine of an engine, at random times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spells {
    /// Part of the time.
    pub share: f64,
    /// Mean duration, in ms.
    pub mean_ms: f64,
    /// Factor on the time of steps meanwhile.
    pub factor: f64,
}

/// `[service]`: a plain service, whose targets are identical.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Number of targets.
    pub count: usize,
    /// Requests that one target runs concurrently.
    pub slots: u32,
    /// Length of a target's queue; further requests are refused.
    pub queue: usize,
}

/// A leading part of prompts that several requests share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedPart {
    /// Size of the part.
    pub tokens: u64,
    /// Number of distinct texts that requests choose from.
    pub variants: u64,
}

/// The work that a request of a kind causes at its target.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A streamed generation by an engine.
    Generation {
        /// Mean number of prompt tokens that no other request shares.
        own_tokens: u64,
        /// The shared leading parts of the prompt, in order.
        shared: Vec<SharedPart>,
        /// Mean number of events in the answer.
        events: u64,
    },
    /// A call of the plain service, with its mean service time in ms.
    Call(f64),
}

/// `[kind NAME]`: requests of the same size, rate and objectives.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// `NAME` in the section's head.
    pub name: SmolStr,
    /// Mean arrival rate in requests per second, over all entries.
    pub per_s: f64,
    /// The work that such a request causes.
    pub work: Work,
    /// Maximum time to the first piece of an answer that counts as in time.
    pub objective: Millis,
    /// Maximum pause between two pieces of an answer that counts as in time.
    pub pause: Millis,
    /// Time from the caller's first try after which it disconnects.
    pub deadline: Millis,
    /// Credit for an answer in time.
    pub worth: f64,
    /// Credit for a late answer.
    pub late_worth: f64,
    /// Maximum number of retries by the caller after refusals.
    pub retries: u32,
    /// Maximum attempts of an entry per try of the caller; there are none after the first piece.
    /// Attempts that did not reach their target do not count.
    pub attempts: u32,
}

/// `[trouble NAME]`: a temporary change of the load or a fault of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Disturbance {
    /// The kind of disturbance.
    pub kind: DisturbanceKind,
    /// Start, from the beginning of the run.
    pub start: Millis,
    /// Duration.
    pub duration: Millis,
    /// Fraction of the requests, callers or engines affected.
    pub share: f64,
    /// Strength; its meaning depends on the kind.
    pub magnitude: f64,
    /// The kind of request affected; all if `None`.
    pub request_kind: Option<SmolStr>,
}

/// The kinds of disturbance. `share` and `x` are keys of the section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DisturbanceKind {
    /// The arrival rate is multiplied by `x`.
    Burst,
    /// `share` of the generations have the same shared prompt parts.
    #[strum(serialize = "hot_thing")]
    HotPrefix,
    /// `share` of the requests come from one client account.
    HotAccount,
    /// `share` of the callers retry almost immediately, up to `x` additional times.
    RetryStorm,
    /// `share` of the engines crash and accept no connections.
    #[strum(serialize = "engines_dead")]
    EnginesDown,
    /// The steps of `share` of the engines take `x` times as long.
    EnginesSlow,
    /// `share` of the engines fail a fraction `x` of their requests.
    EnginesGrey,
}

/// A simulated deployment, its load and the disturbances of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Time during which requests arrive.
    pub duration: Millis,
    /// Number of entries; a caller retries at the same entry.
    pub entries: usize,
    /// Number of availability zones; entries and targets are assigned to them round-robin.
    pub zones: usize,
    /// Number of client accounts; those with lower numbers send more requests.
    pub accounts: u64,
    /// One-way latency between a caller and its entry, in ms.
    pub caller_ms: f64,
    /// One-way latency between two availability zones, in ms.
    pub zone_ms: f64,
    /// Minimum interval between two updates of the load that an engine reports.
    pub report_lag: Millis,
    /// The engines.
    pub engines: EngineSpec,
    /// The plain service.
    pub service: ServiceSpec,
    /// The kinds of request. Invariant: not empty.
    pub kinds: Vec<Kind>,
    /// Disturbances, in the order of the file.
    pub disturbances: Vec<Disturbance>,
}

impl Scenario {
    /// Reads the file at `path`, and the file that it extends.
    ///
    /// # Errors
    /// The first fault found in the file.
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

    /// Parses the text of a scenario file.
    ///
    /// # Errors
    /// The first fault found in the text.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let ini = parse_ini(text)?;
        let mut kinds = Vec::new();
        let mut disturbances = Vec::new();
        for (name, properties) in &ini {
            let Some(name) = name else { continue };
            let section = Section { name, properties };
            match name.split_once(' ') {
                Some(("kind", kind)) => kinds.push(section.kind(kind)?),
                Some(("trouble", _)) => disturbances.push(section.disturbance()?),
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
            duration: Millis::new(model.parse("length_ms")?),
            entries: model.parse::<usize>("entries")?.max(1),
            zones: model.parse::<usize>("zones")?.max(1),
            accounts: model.parse::<u64>("accounts")?.max(1),
            caller_ms: model.parse("caller_ms")?,
            zone_ms: model.parse("zone_ms")?,
            report_lag: Millis::new(model.parse("report_lag_ms")?),
            engines: Section::find(&ini, "engines")?.engines()?,
            service: ServiceSpec {
                count: service.parse("count")?,
                slots: service.parse("slots")?,
                queue: service.parse("queue")?,
            },
            kinds,
            disturbances,
        })
    }
}

/// The section that names the file which a scenario extends.
const BASE: &str = "base";

fn read(path: &Path) -> Result<String, ScenarioError> {
    std::fs::read_to_string(path)
        .map_err(|error| ScenarioError::Unreadable(format_smolstr!("{}: {error}", path.display())))
}

fn parse_ini(text: &str) -> Result<Ini, ScenarioError> {
    Ini::load_from_str(text).map_err(|error| ScenarioError::Syntax(format_smolstr!("{error}")))
}

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

    fn parse<T: FromStr>(&self, key: &str) -> Result<T, ScenarioError> {
        let given = self.properties.get(key).unwrap_or_default();
        given
            .trim()
            .parse()
            .map_err(|_| self.invalid_value(key, given))
    }

    fn parse_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, ScenarioError> {
        match self.properties.contains_key(key) {
            true => self.parse(key),
            false => Ok(default),
        }
    }

    fn invalid_value(&self, key: &str, given: &str) -> ScenarioError {
        ScenarioError::Value {
            section: self.name.into(),
            key: key.into(),
            given: given.into(),
        }
    }

    fn engines(&self) -> Result<EngineSpec, ScenarioError> {
        Ok(EngineSpec {
            count: self.parse("count")?,
            slots: self.parse("slots")?,
            queue: self.parse("queue")?,
            memory_tokens: self.parse("memory_tokens")?,
            step_ms: self.parse("step_ms")?,
            step_ms_per_slot: self.parse("step_ms_per_slot")?,
            context_ms_per_k: self.parse("context_ms_per_k")?,
            prompt_tokens_per_ms: self.parse("prompt_tokens_per_ms")?,
            chunk_tokens: self.parse("chunk_tokens")?,
            event_delay_ms: self.parse("first_ms")?,
            tokens_per_event: self.parse("tokens_per_event")?,
            paces: self.paces()?,
            reports_pace: self.parse_or("reports_pace", false)?,
            spells: self.spells()?,
        })
    }

    /// Parses `paces = FACTOR, ...`.
    fn paces(&self) -> Result<Vec<f64>, ScenarioError> {
        let given = self.properties.get("paces").unwrap_or("1.0");
        let paces = given.split(',').map(|text| text.trim().parse::<f64>().ok());
        let paces: Option<Vec<f64>> = paces.collect();
        let paces = paces.filter(|paces| paces.iter().all(|pace| *pace > 0.0));
        paces.ok_or_else(|| self.invalid_value("paces", given))
    }

    fn spells(&self) -> Result<Option<Spells>, ScenarioError> {
        if !self.properties.contains_key("spell_share") {
            return Ok(None);
        }
        Ok(Some(Spells {
            share: self.parse::<f64>("spell_share")?.clamp(0.0, 0.9),
            mean_ms: self.parse_or("spell_ms", 600.0)?,
            factor: self.parse_or("spell_x", 2.5)?,
        }))
    }

    fn kind(&self, name: &str) -> Result<Kind, ScenarioError> {
        let work = if self.properties.contains_key("work_ms") {
            Work::Call(self.parse("work_ms")?)
        } else {
            Work::Generation {
                own_tokens: self.parse("own_tokens")?,
                shared: self.shared()?,
                events: self.parse("events")?,
            }
        };
        Ok(Kind {
            name: name.into(),
            per_s: self.parse("per_s")?,
            work,
            objective: Millis::new(self.parse("objective_ms")?),
            pause: Millis::new(self.parse_or("pause_ms", 500)?),
            deadline: Millis::new(self.parse("deadline_ms")?),
            worth: self.parse("worth")?,
            late_worth: self.parse_or("late_worth", 0.0)?,
            retries: self.parse_or("retries", 0)?,
            attempts: self.parse_or("attempts", 1)?,
        })
    }

    /// Parses `shared = TOKENS x VARIANTS, ...`.
    fn shared(&self) -> Result<Vec<SharedPart>, ScenarioError> {
        let given = self.properties.get("shared").unwrap_or_default();
        let part = |text: &str| {
            let (tokens, variants) = text.split_once('x')?;
            Some(SharedPart {
                tokens: tokens.trim().parse().ok()?,
                variants: variants
                    .trim()
                    .parse()
                    .ok()
                    .filter(|variants| *variants > 0)?,
            })
        };
        let texts = given.split(',').filter(|text| !text.trim().is_empty());
        let parts: Option<Vec<SharedPart>> = texts.map(part).collect();
        parts.ok_or_else(|| self.invalid_value("shared", given))
    }

    fn disturbance(&self) -> Result<Disturbance, ScenarioError> {
        let request_kind = self.properties.get("kind").map(SmolStr::new);
        Ok(Disturbance {
            kind: self.parse("what")?,
            start: Millis::new(self.parse("at_ms")?),
            duration: Millis::new(self.parse("for_ms")?),
            share: self.parse_or("share", 1.0)?,
            magnitude: self.parse_or("x", 1.0)?,
            request_kind,
        })
    }
}
