//! Checks a job's results: one result for each item, with the engine's text.

use std::collections::HashMap;

use dappleyard_wire::hash::hash_bytes;
use serde_json::Value;

use super::expected::{ExpectedResponse, canonical_prompt};
use super::plan::ItemPlan;
use crate::recorder::{ItemFinding, JobResults};

/// Characters kept of a result without a response.
const MAX_SHOWN_CHARACTERS: usize = 300;

/// Checks the lines of a job's output and error files.
pub fn check_results(lines: &[u8], items: &[ItemPlan], versions: &[String]) -> JobResults {
    let mut found = by_custom_id(lines);
    let mut results = JobResults::default();
    for item in items {
        let values = found.remove(&item.custom_id).unwrap_or_default();
        match check_item(item, &values, versions) {
            None => {
                results.right += 1;
                results.fingerprint ^= hash_bytes(values[0].to_string().as_bytes());
            }
            Some(finding) => results.findings.push(finding),
        }
    }
    let foreign = found.into_keys().map(ItemFinding::Foreign);
    results.findings.extend(foreign);
    results
}

fn by_custom_id(lines: &[u8]) -> HashMap<String, Vec<Value>> {
    let mut found: HashMap<String, Vec<Value>> = HashMap::new();
    for line in lines
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let value: Value = serde_json::from_slice(line).unwrap_or_default();
        let custom_id = value["custom_id"].as_str().unwrap_or_default().to_owned();
        found.entry(custom_id).or_default().push(value);
    }
    found
}

fn check_item(item: &ItemPlan, values: &[Value], versions: &[String]) -> Option<ItemFinding> {
    let custom_id = item.custom_id.clone();
    let value = match values {
        [] => return Some(ItemFinding::Missing(custom_id)),
        [value] => value,
        _ => return Some(ItemFinding::Doubled(custom_id)),
    };
    let body = &value["response"]["body"];
    let Some(text) = body["choices"][0]["message"]["content"].as_str() else {
        let shown = value
            .to_string()
            .chars()
            .take(MAX_SHOWN_CHARACTERS)
            .collect();
        return Some(ItemFinding::Failed(shown));
    };
    let expected = ExpectedResponse {
        versions: versions.to_vec(),
        prompt: canonical_prompt(&item.system, &item.user),
        max_tokens: item.max_tokens,
    };
    let wrong = expected.check_complete(text)?;
    Some(ItemFinding::Wrong(format!("{custom_id}: {wrong}")))
}
