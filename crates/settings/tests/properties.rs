//! Property tests of settings files.

use dappleyard_settings::{
    NodeSettings, SettingsError, SidecarSettings, parse_node, parse_sidecar,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn default_node() -> String {
    toml::to_string(&NodeSettings::default()).expect("default settings can be written")
}

fn has_location(error: Option<SettingsError>) -> bool {
    error.is_none_or(|error| {
        let located = |problem: &String| problem.starts_with("f:");
        !error.problems.is_empty() && error.problems.iter().all(located)
    })
}

proptest! {
    #[test]
    fn arbitrary_text_is_parsed_or_rejected_with_a_location(text in ".{0,200}") {
        prop_assert!(has_location(parse_node("f", &text).err()));
        prop_assert!(has_location(parse_sidecar("f", &text).err()));
    }

    #[test]
    fn errors_of_a_damaged_line_have_a_location(
        line in any::<prop::sample::Index>(),
        noise in "[ -~]{0,30}",
    ) {
        let text = default_node();
        let mut lines: Vec<&str> = text.lines().collect();
        let damaged = line.index(lines.len());
        lines[damaged] = &noise;
        prop_assert!(has_location(parse_node("f", &lines.join("\n")).err()));
    }

    #[test]
    fn unknown_key_is_reported(key in "[a-z]{3,12}") {
        let key = format!("not_a_key_{key}");
        let error = parse_sidecar("f", &format!("{key} = 1\n")).err();
        let named = error.is_some_and(|error| error.to_string().contains(&key));
        prop_assert!(named);
    }
}

#[gtest]
fn default_settings_round_trip() {
    let node = parse_node("f", &default_node()).map(|read| read == NodeSettings::default());
    expect_that!(node, ok(eq(&true)));
    let text = toml::to_string(&SidecarSettings::default()).expect("settings can be written");
    let sidecar = parse_sidecar("f", &text).map(|read| read == SidecarSettings::default());
    expect_that!(sidecar, ok(eq(&true)));
}
