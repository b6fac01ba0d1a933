//! The check of a job's results reports each kind of problem.

use dappleyard_lab::load::expected::canonical_prompt;
use dappleyard_lab::load::plan::ItemPlan;
use dappleyard_lab::load::results::check_results;
use dappleyard_lab::recorder::ItemFinding;
use dappleyard_standin::text;
use googletest::prelude::*;
use serde_json::json;

const VERSION: &str = "v1";

fn item(custom_id: &str) -> ItemPlan {
    ItemPlan {
        custom_id: custom_id.to_owned(),
        system: "system".to_owned(),
        user: custom_id.to_owned(),
        max_tokens: 5,
    }
}

fn line(custom_id: &str, content: &str) -> String {
    let message = json!({"content": content});
    let body = json!({"choices": [{"message": message}]});
    json!({"custom_id": custom_id, "response": {"body": body}}).to_string()
}

fn right(item: &ItemPlan) -> String {
    let prompt = canonical_prompt(&item.system, &item.user);
    text::expected(VERSION, &prompt, item.max_tokens).text
}

#[gtest]
fn each_kind_of_wrong_result_is_reported() {
    let items: Vec<ItemPlan> = ["right", "doubled", "wrong", "failed", "missing"]
        .map(item)
        .to_vec();
    let doubled = line("doubled", &right(&items[1]));
    let lines = [
        line("right", &right(&items[0])),
        doubled.clone(),
        doubled,
        line("wrong", "another text"),
        json!({"custom_id": "failed", "error": {"code": "internal"}}).to_string(),
        line("foreign", "text"),
    ];
    let found = check_results(lines.join("\n").as_bytes(), &items, &[VERSION.to_owned()]);
    expect_that!(found.right, eq(1));
    expect_that!(
        found.findings,
        elements_are![
            matches_pattern!(ItemFinding::Doubled(eq("doubled"))),
            matches_pattern!(ItemFinding::Wrong(starts_with("wrong:"))),
            matches_pattern!(ItemFinding::Failed(contains_substring("internal"))),
            matches_pattern!(ItemFinding::Missing(eq("missing"))),
            matches_pattern!(ItemFinding::Foreign(eq("foreign"))),
        ]
    );
}
