//! Decodes a configuration for a check: reads all that can be read, and lists the rest.
//!
//! Unknown fields are skipped, as when a gateway reads a configuration.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::error::Category;
use serde_json::value::RawValue;

use super::{WireBackend, WireConfig, figure, route_class, to_path};
use crate::gateway::config::RouteClass;
use crate::gateway::config_check::draft::{
    ApiKey, Draft, Entry, EntryId, Field, Kind, Setting, Weights,
};
use crate::gateway::config_check::finding::{Fault, Finding, Form, Severity};

/// What is done about a field that is missing, `null` or of another form than expected.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Need {
    /// Must be given.
    Required,
    /// May be missing, but not `null`.
    Optional,
    /// May be missing or `null`.
    Nullable,
    /// As `Nullable`; a value of another form is ignored.
    Lenient,
}

type Column = (Field, Form, Need);
type Fields<'a> = BTreeMap<String, &'a RawValue>;

const WHOLE: &[Column] = &[(Field::Version, Form::Count, Need::Required)];

const ROUTE: &[Column] = &[
    (Field::Name, Form::Text, Need::Optional),
    (Field::Authority, Form::Text, Need::Required),
    (Field::PathPrefix, Form::Text, Need::Required),
    (Field::Class, Form::Class, Need::Required),
    (Field::Timeout, Form::Number, Need::Required),
    (Field::Objective, Form::Number, Need::Nullable),
    (Field::GapObjective, Form::Figure, Need::Lenient),
    (Field::Service, Form::Text, Need::Nullable),
    (Field::Services, Form::Weights, Need::Optional),
    (Field::MaxAttempts, Form::SmallCount, Need::Optional),
    (Field::Anonymous, Form::Flag, Need::Optional),
    (Field::Resume, Form::Flag, Need::Optional),
    (Field::Regions, Form::Regions, Need::Nullable),
];

const SERVICE: &[Column] = &[
    (Field::Name, Form::Text, Need::Required),
    (Field::MaxConnections, Form::Count, Need::Optional),
    (Field::HealthPath, Form::Path, Need::Lenient),
    (Field::ColdSpan, Form::Positive, Need::Lenient),
    (Field::ColdRate, Form::Positive, Need::Lenient),
];

const ENGINE: &[Column] = &[
    (Field::Slots, Form::SmallCount, Need::Optional),
    (Field::KvCapacity, Form::Count, Need::Optional),
    (Field::TokenBytes, Form::Figure, Need::Lenient),
    (Field::LinkRate, Form::Figure, Need::Lenient),
];

const LIMITS: &[Column] = &[
    (Field::MaxHead, Form::Count, Need::Nullable),
    (Field::MaxBody, Form::Count, Need::Nullable),
    (Field::HeadTimeout, Form::Count, Need::Nullable),
    (Field::IdleTimeout, Form::Count, Need::Nullable),
    (Field::TokenRate, Form::Number, Need::Nullable),
];

const ACCOUNT: &[Column] = &[
    (Field::Name, Form::Text, Need::Required),
    (Field::ApiKeys, Form::ApiKeys, Need::Optional),
    (Field::Regions, Form::Regions, Need::Nullable),
];

/// The field's name in the platform's format.
pub fn field_name(field: Field) -> &'static str {
    match field {
        Field::Version => "version",
        Field::Routes => "routes",
        Field::ServiceList => "services",
        Field::Services => "weightedBackends",
        Field::Accounts => "tenants",
        Field::Limits => "limits",
        Field::Name => "name",
        Field::Authority => "authority",
        Field::PathPrefix => "pathPrefix",
        Field::Class => "routeClass",
        Field::Service => "backend",
        Field::Timeout => "timeoutMs",
        Field::Objective => "targetLatencyMs",
        Field::GapObjective => "gapAimMs",
        Field::MaxAttempts => "maxAttempts",
        Field::Anonymous => "anonymousAccess",
        Field::Resume => "streamResume",
        Field::Regions => "allowedRegions",
        Field::MaxConnections => "maxConnections",
        Field::Engine => "engine",
        Field::Slots => "slots",
        Field::KvCapacity => "kvCapacity",
        Field::TokenBytes => "kvBytes",
        Field::LinkRate => "linkMbps",
        Field::HealthPath => "healthPath",
        Field::ColdSpan => "coldS",
        Field::ColdRate => "coldPerS",
        Field::MaxHead => "headerBytes",
        Field::MaxBody => "maxBodyBytes",
        Field::HeadTimeout => "headerTimeoutMs",
        Field::IdleTimeout => "idleTimeoutMs",
        Field::TokenRate => "tokensPerS",
        Field::ApiKeys => "apiKeys",
    }
}

/// Decodes a configuration.
///
/// # Errors
/// Returns the fault if the text is not a JSON object. Other faults are in [`Draft::faults`].
pub fn decode(source: &[u8]) -> Result<Draft, Fault> {
    let fields: Fields = serde_json::from_slice(source).map_err(|error| to_fault(&error))?;
    let mut decoder = Decoder::default();
    let mut whole = Entry::new(EntryId::single(Kind::Whole));
    decoder.columns(&mut whole, &fields, WHOLE);
    let routes = decoder.entries(&mut whole, &fields, Kind::Route);
    let services = decoder.entries(&mut whole, &fields, Kind::Service);
    let accounts = decoder.entries(&mut whole, &fields, Kind::Account);
    let mut limits = Entry::new(EntryId::single(Kind::Limits));
    if let Some(raw) = fields.get(field_name(Field::Limits)) {
        decoder.object(&mut limits, raw, LIMITS);
    }
    decoder.confirm(&whole, source);
    Ok(Draft {
        whole,
        routes,
        services,
        accounts,
        limits,
        faults: decoder.faults,
    })
}

/// Converts an error without its text, which may quote an API key.
fn to_fault(error: &serde_json::Error) -> Fault {
    match error.classify() {
        Category::Data => Fault::NotObject,
        _ => Fault::NotJson {
            line: error.line(),
            column: error.column(),
        },
    }
}

#[derive(Default)]
struct Decoder {
    faults: Vec<Finding>,
}

impl Decoder {
    /// Decodes the list of the entries of a kind. One that lacks entries counts as unreadable.
    fn entries(&mut self, whole: &mut Entry, fields: &Fields, kind: Kind) -> Vec<Entry> {
        let field = match kind {
            Kind::Route => Field::Routes,
            Kind::Service => Field::ServiceList,
            _ => Field::Accounts,
        };
        let Some(raw) = fields.get(field_name(field)) else {
            return Vec::new();
        };
        let Some(items) = parse::<Vec<&RawValue>>(raw) else {
            self.odd(whole, field, Form::List);
            return Vec::new();
        };
        let count = items.len();
        let items = items.into_iter().enumerate();
        let entries = items.filter_map(|(index, raw)| self.entry(kind, index, raw));
        let entries: Vec<Entry> = entries.collect();
        if entries.len() < count {
            whole.settings.insert(field, Setting::Unreadable);
        }
        entries
    }

    /// Decodes an entry; `None` if it is not an object.
    fn entry(&mut self, kind: Kind, index: usize, raw: &RawValue) -> Option<Entry> {
        let fields = parse::<Fields>(raw);
        let name = fields
            .as_ref()
            .and_then(|fields| fields.get(field_name(Field::Name)));
        let name = name.and_then(|raw| parse::<Box<str>>(raw));
        let mut entry = Entry::new(EntryId {
            kind,
            name: name.unwrap_or_default(),
            index,
        });
        let Some(fields) = fields else {
            self.report(&entry, Fault::NotObject);
            return None;
        };
        match kind {
            Kind::Route => self.route(&mut entry, &fields),
            Kind::Service => self.service(&mut entry, &fields),
            _ => self.columns(&mut entry, &fields, ACCOUNT),
        }
        Some(entry)
    }

    /// Decodes a route. Its single service and its list of services become one list.
    fn route(&mut self, entry: &mut Entry, fields: &Fields) {
        self.columns(entry, fields, ROUTE);
        self.class(entry);
        let single = entry.settings.remove(&Field::Service);
        let list = entry.settings.remove(&Field::Services);
        let weights = match (single, list) {
            (Some(Setting::Unreadable), _) | (_, Some(Setting::Unreadable)) => Setting::Unreadable,
            (single, list) => Setting::Weights(to_weights(single, list)),
        };
        entry.settings.insert(Field::Services, weights);
    }

    /// Replaces the text of the class by the class, which depends on another field.
    fn class(&mut self, entry: &mut Entry) {
        let Some(text) = entry.text(Field::Class) else {
            return;
        };
        let resume = entry.settings.get(&Field::Resume) == Some(&Setting::Flag(true));
        let class = route_class(text, resume);
        if class.is_none() {
            let fault = Fault::UnknownClass(text.into());
            self.report(entry, fault);
        }
        let class = Setting::Class(class.unwrap_or(RouteClass::Once));
        entry.settings.insert(Field::Class, class);
    }

    fn service(&mut self, entry: &mut Entry, fields: &Fields) {
        self.columns(entry, fields, SERVICE);
        let engine = fields.get(field_name(Field::Engine));
        if let Some(raw) = engine.filter(|raw| raw.get() != "null") {
            let Some(engine) = parse::<Fields>(raw) else {
                return self.odd(entry, Field::Engine, Form::Object);
            };
            entry.settings.insert(Field::Engine, Setting::Flag(true));
            self.columns(entry, &engine, ENGINE);
        }
    }

    fn object(&mut self, entry: &mut Entry, raw: &RawValue, columns: &[Column]) {
        match parse::<Fields>(raw) {
            Some(fields) => self.columns(entry, &fields, columns),
            None => self.report(entry, Fault::NotObject),
        }
    }

    fn columns(&mut self, entry: &mut Entry, fields: &Fields, columns: &[Column]) {
        for &(field, form, need) in columns {
            let nullable = matches!(need, Need::Nullable | Need::Lenient);
            let raw = fields.get(field_name(field));
            let raw = raw.filter(|raw| !(nullable && raw.get() == "null"));
            match raw.map(|raw| read(form, raw)) {
                Some(Some(setting)) => {
                    entry.settings.insert(field, setting);
                }
                Some(None) if need == Need::Lenient => {
                    self.report(entry, Fault::Ignored(field, form));
                }
                Some(None) => self.odd(entry, field, form),
                None if need == Need::Required => self.report(entry, Fault::Missing(field)),
                None => {}
            }
        }
    }

    /// Decodes the configuration as a gateway does, so that a check without errors means that the
    /// gateway can read it.
    fn confirm(&mut self, whole: &Entry, source: &[u8]) {
        let mut faults = self.faults.iter().map(|finding| finding.fault.severity());
        if faults.any(|severity| severity == Severity::Error) {
            return;
        }
        if let Err(error) = serde_json::from_slice::<WireConfig>(source) {
            let (line, column) = (error.line(), error.column());
            self.report(whole, Fault::Undecodable { line, column });
        }
    }

    fn odd(&mut self, entry: &mut Entry, field: Field, form: Form) {
        self.report(entry, Fault::Odd(field, form));
        entry.settings.insert(field, Setting::Unreadable);
    }

    fn report(&mut self, entry: &Entry, fault: Fault) {
        self.faults.push(Finding::new(entry, fault));
    }
}

fn to_weights(single: Option<Setting>, list: Option<Setting>) -> Weights {
    let mut weights = match list {
        Some(Setting::Weights(weights)) => weights,
        _ => Weights::new(),
    };
    if let Some(Setting::Text(name)) = single {
        weights.push((name, 1));
    }
    weights.sort();
    weights
}

fn parse<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Option<T> {
    serde_json::from_str(raw.get()).ok()
}

/// Reads a value of a form; `None` if it has another one.
fn read(form: Form, raw: &RawValue) -> Option<Setting> {
    Some(match form {
        Form::SmallCount => Setting::Count(parse::<u32>(raw)?.into()),
        Form::Count => Setting::Count(parse(raw)?),
        Form::Number => Setting::Number(parse(raw)?),
        Form::Figure => Setting::Number(figure(Some(raw))?),
        Form::Positive => Setting::Number(figure(Some(raw)).filter(|figure| *figure > 0.0)?),
        Form::Flag => Setting::Flag(parse(raw)?),
        Form::Text | Form::Class => Setting::Text(parse(raw)?),
        Form::Path => Setting::Text(to_path(raw)?.to_string().into()),
        Form::Regions => {
            let names: Vec<Box<str>> = parse(raw)?;
            Setting::Regions(sorted(names).into())
        }
        Form::ApiKeys => {
            let keys: Vec<Box<str>> = parse(raw)?;
            Setting::ApiKeys(keys.into_iter().map(ApiKey::from).collect())
        }
        Form::Weights => {
            let list: Vec<WireBackend> = parse(raw)?;
            let weights = list.into_iter().map(|entry| (entry.backend, entry.weight));
            Setting::Weights(weights.collect())
        }
        Form::Object | Form::List => return None,
    })
}

fn sorted(mut names: Vec<Box<str>>) -> Vec<Box<str>> {
    names.sort();
    names
}
