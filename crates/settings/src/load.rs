//! Parsing and validation of settings files. All errors are reported, with line numbers.
//!
//! The serialized default settings are the schema for keys and types. [`crate::rules`] defines the
//! valid ranges of values.

use std::path::Path;

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

use crate::node::NodeSettings;
use crate::rules::{NODE_RULES, Rule, SIDECAR_RULES};
use crate::sidecar::SidecarSettings;

/// Invalid settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", problems.join("\n"))]
pub struct SettingsError {
    /// One message per problem, with file, line, key and cause.
    pub problems: Vec<String>,
}

/// Reads and validates a node's settings file.
pub fn load_node(path: &Path) -> Result<NodeSettings, SettingsError> {
    parse_node(&path.display().to_string(), &read(path)?)
}

/// Reads and validates a sidecar's settings file.
pub fn load_sidecar(path: &Path) -> Result<SidecarSettings, SettingsError> {
    parse_sidecar(&path.display().to_string(), &read(path)?)
}

/// Parses and validates a node's settings; `name` is the file name in messages.
pub fn parse_node(name: &str, text: &str) -> Result<NodeSettings, SettingsError> {
    parse(name, text, NODE_RULES)
}

/// Parses and validates a sidecar's settings; `name` is the file name in messages.
pub fn parse_sidecar(name: &str, text: &str) -> Result<SidecarSettings, SettingsError> {
    parse(name, text, SIDECAR_RULES)
}

/// Validates settings changed after parsing, for example by command-line flags.
pub fn validate_node(settings: &NodeSettings) -> Result<(), SettingsError> {
    validate(settings, NODE_RULES)
}

/// Validates settings changed after parsing, for example by command-line flags.
pub fn validate_sidecar(settings: &SidecarSettings) -> Result<(), SettingsError> {
    validate(settings, SIDECAR_RULES)
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError {
        problems: vec![format!("{}: cannot read the file: {error}", path.display())],
    })
}

fn parse<T>(name: &str, text: &str, rules: &[Rule]) -> Result<T, SettingsError>
where
    T: Serialize + DeserializeOwned + Default,
{
    let mut checker = Checker {
        name,
        text,
        problems: Vec::new(),
    };
    let schema = as_table(&T::default());
    let (document, syntax_errors) = DeTable::parse_recoverable(text);
    for error in syntax_errors {
        let offset = error.span().map_or(0, |span| span.start);
        checker.add(offset, "", error.message());
    }
    checker.check_schema(document.get_ref(), &schema, "");
    if checker.problems.is_empty() {
        checker.check_rules(document.get_ref(), rules);
    }
    if !checker.problems.is_empty() {
        return Err(SettingsError {
            problems: checker.problems,
        });
    }
    toml::from_str(text).map_err(|error| SettingsError {
        problems: vec![format!("{name}: {}", error.message())],
    })
}

fn validate<T: Serialize>(settings: &T, rules: &[Rule]) -> Result<(), SettingsError> {
    let table = as_table(settings);
    let problems: Vec<String> = rules
        .iter()
        .filter_map(|rule| {
            let value = lookup(&table, rule.key)?;
            let cause = rule.bound.problem(value)?;
            Some(format!("{}: {cause}", rule.key))
        })
        .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(SettingsError { problems })
    }
}

fn as_table<T: Serialize>(settings: &T) -> Table {
    Table::try_from(settings).unwrap_or_default()
}

fn lookup<'a>(table: &'a Table, key: &str) -> Option<&'a Value> {
    let mut parts = key.split('.');
    let first = table.get(parts.next()?)?;
    parts.try_fold(first, |value, part| value.get(part))
}

/// Collects problems of a settings file.
struct Checker<'a> {
    name: &'a str,
    text: &'a str,
    problems: Vec<String>,
}

impl Checker<'_> {
    fn add(&mut self, offset: usize, key: &str, cause: &str) {
        let before = self.text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let key = if key.is_empty() {
            String::new()
        } else {
            format!("{key}: ")
        };
        self.problems
            .push(format!("{}:{line}: {key}{cause}", self.name));
    }

    /// Reports unknown keys and values of the wrong type.
    fn check_schema(&mut self, document: &DeTable<'_>, schema: &Table, parent: &str) {
        for (key, value) in document {
            let path = join(parent, key.get_ref());
            let Some(expected) = schema.get(key.get_ref().as_ref()) else {
                let known = schema.keys().cloned().collect::<Vec<_>>().join(", ");
                self.add(
                    key.span().start,
                    &path,
                    &format!("unknown key; known here: {known}"),
                );
                continue;
            };
            self.check_value(value, expected, &path);
        }
    }

    fn check_value(&mut self, value: &Spanned<DeValue<'_>>, expected: &Value, path: &str) {
        let found = value.get_ref();
        match (found, expected) {
            (DeValue::Table(inner), Value::Table(schema)) => self.check_schema(inner, schema, path),
            (DeValue::Integer(_), Value::Float(_)) => {}
            (DeValue::Integer(number), Value::Integer(_)) => {
                if i64::from_str_radix(number.as_str(), number.radix()).is_ok_and(|n| n < 0) {
                    self.add(value.span().start, path, "must not be negative");
                }
            }
            (DeValue::Array(items), Value::Array(_)) => {
                for item in items.iter() {
                    if !matches!(item.get_ref(), DeValue::String(_)) {
                        self.add(item.span().start, path, "each item must be a string");
                    }
                }
            }
            _ if found.type_str() == expected.type_str() => {}
            _ => {
                let (wanted, actual) = (expected.type_str(), found.type_str());
                let cause = format!("expected {wanted}, found {actual}");
                self.add(value.span().start, path, &cause);
            }
        }
    }

    /// Reports values that violate a rule.
    fn check_rules(&mut self, document: &DeTable<'_>, rules: &[Rule]) {
        let Ok(table) = toml::from_str::<Table>(self.text) else {
            return;
        };
        for rule in rules {
            let Some(value) = lookup(&table, rule.key) else {
                continue;
            };
            if let Some(cause) = rule.bound.problem(value) {
                let offset = offset_of(document, rule.key);
                self.add(offset, rule.key, &cause);
            }
        }
    }
}

fn offset_of(document: &DeTable<'_>, key: &str) -> usize {
    let (first, rest) = key
        .split_once('.')
        .map_or((key, None), |(a, b)| (a, Some(b)));
    let Some((_, value)) = document.iter().find(|(name, _)| name.get_ref() == first) else {
        return 0;
    };
    match (value.get_ref(), rest) {
        (DeValue::Table(inner), Some(rest)) => offset_of(inner, rest),
        _ => value.span().start,
    }
}

fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}
