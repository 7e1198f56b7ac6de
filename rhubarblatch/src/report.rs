//! Errors as `--json` prints them.

use decision::check;
use decision::declaration::Kind;
use decision::name::Name;
use operator::{Refusal, source};
use serde::Serialize;
use serde_json::{Value, json};

use crate::error::{Broken, Error};

/// Why a command failed, as one JSON object.
#[derive(Serialize)]
pub(crate) struct Report {
    error: Body,
}

#[derive(Serialize)]
struct Body {
    kind: String,
    message: String,
    /// All errors of the declarations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    errors: Vec<Item>,
    /// What the entry answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusal: Option<Value>,
}

/// An error of one declaration. What it does not concern is null.
#[derive(Default, Serialize)]
struct Item {
    file: Option<String>,
    object: Option<String>,
    field: Option<String>,
    value: Option<Value>,
    message: String,
}

impl Report {
    /// The report of `error`.
    pub(crate) fn new(error: &Error) -> Report {
        let refusal = match error {
            Error::Refused(refusal) => serde_json::to_value(refusal).ok(),
            _ => None,
        };
        let of_refusal = refusal.as_ref().and_then(|it| it["type"].as_str());
        let kind = of_refusal.unwrap_or(error.kind()).to_owned();
        let errors = match error {
            Error::Sources(errors) => errors.iter().map(unreadable).collect(),
            Error::Invalid(errors) => errors.iter().map(broken).collect(),
            Error::Refused(Refusal::Invalid { errors }) => {
                let without_file =
                    |error: &check::Error| Broken { error: error.clone(), file: None };
                errors.iter().map(|error| broken(&without_file(error))).collect()
            }
            _ => Vec::new(),
        };
        Report { error: Body { kind, message: error.to_string(), errors, refusal } }
    }

    /// The report of a wrong command line.
    pub(crate) fn usage(message: &str) -> Report {
        let (kind, message) = ("usage".to_owned(), message.trim_end().to_owned());
        Report { error: Body { kind, message, errors: Vec::new(), refusal: None } }
    }
}

fn unreadable(error: &source::Error) -> Item {
    let message = error.to_string();
    match error {
        source::Error::Unreadable { file, .. }
        | source::Error::Large { file, .. }
        | source::Error::Files { file, .. }
        | source::Error::Syntax { file, .. } => {
            Item { file: Some(file.to_string()), message, ..Item::default() }
        }
        source::Error::Field { file, subject, path, value, reason } => Item {
            file: Some(file.to_string()),
            object: Some(subject.clone()),
            field: Some(path.clone()),
            value: value.as_ref().and_then(|text| serde_json::from_str(text).ok()),
            message: reason.clone(),
        },
        source::Error::Twice { file, kind, name, .. } => Item {
            file: Some(file.to_string()),
            object: Some(format!("{kind} \"{name}\"")),
            message,
            ..Item::default()
        },
    }
}

fn broken(broken: &Broken) -> Item {
    let (field, value) = place(&broken.error);
    let object = subject(&broken.error).map(|(kind, name)| format!("{kind} \"{name}\""));
    Item {
        file: broken.file.as_ref().map(ToString::to_string),
        object,
        field: field.map(str::to_owned),
        value,
        message: broken.error.to_string(),
    }
}

/// The declaration that is wrong, if it is one.
pub(crate) fn subject(error: &check::Error) -> Option<(Kind, &Name)> {
    match error {
        check::Error::UnknownProfile { service, .. }
        | check::Error::UnknownDomain { service, .. }
        | check::Error::Floor { service, .. }
        | check::Error::NoTarget { service }
        | check::Error::TargetTwice { service, .. }
        | check::Error::AddressTwice { service, .. } => Some((Kind::Service, service)),
        check::Error::ProfileInUse { profile, .. } => Some((Kind::Profile, profile)),
        check::Error::DomainInUse { failure_domain, .. } => {
            Some((Kind::FailureDomain, failure_domain))
        }
        check::Error::Range { kind, name, .. } | check::Error::Above { kind, name, .. } => {
            Some((*kind, name))
        }
        check::Error::Large { .. } => None,
    }
}

/// The field that is wrong and its value.
fn place(error: &check::Error) -> (Option<&str>, Option<Value>) {
    match error {
        check::Error::UnknownProfile { profile, .. } | check::Error::Floor { profile, .. } => {
            (Some("profile"), Some(json!(profile)))
        }
        check::Error::UnknownDomain { failure_domain, .. } => {
            (Some("backend.targets.failure_domain"), Some(json!(failure_domain)))
        }
        check::Error::Range { field, value, .. } | check::Error::Above { field, value, .. } => {
            (Some(field), Some(json!(value)))
        }
        check::Error::NoTarget { .. } => (Some("backend.targets"), Some(json!([]))),
        check::Error::TargetTwice { target, .. } => {
            (Some("backend.targets.name"), Some(json!(target)))
        }
        check::Error::AddressTwice { address, .. } => {
            (Some("backend.targets.address"), Some(json!(address)))
        }
        check::Error::ProfileInUse { .. }
        | check::Error::DomainInUse { .. }
        | check::Error::Large { .. } => (None, None),
    }
}
