//! Properties of the reading of settings files.

use dappleyard_settings::{
    NodeSettings, SettingsError, SidecarSettings, parse_node, parse_sidecar,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn default_node() -> String {
    toml::to_string(&NodeSettings::default()).expect("default settings can be written")
}

fn names_places(refused: Option<SettingsError>) -> bool {
    refused.is_none_or(|refused| {
        let placed = |problem: &String| problem.starts_with("f:");
        !refused.problems.is_empty() && refused.problems.iter().all(placed)
    })
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused_with_a_place(text in ".{0,200}") {
        prop_assert!(names_places(parse_node("f", &text).err()));
        prop_assert!(names_places(parse_sidecar("f", &text).err()));
    }

    #[test]
    fn a_damaged_line_never_stops_the_reading(
        line in any::<prop::sample::Index>(),
        noise in "[ -~]{0,30}",
    ) {
        let text = default_node();
        let mut lines: Vec<&str> = text.lines().collect();
        let damaged = line.index(lines.len());
        lines[damaged] = &noise;
        prop_assert!(names_places(parse_node("f", &lines.join("\n")).err()));
    }

    #[test]
    fn an_unknown_key_is_named(key in "[a-z]{3,12}") {
        let key = format!("not_a_key_{key}");
        let refused = parse_sidecar("f", &format!("{key} = 1\n")).err();
        let named = refused.is_some_and(|refused| refused.to_string().contains(&key));
        prop_assert!(named);
    }
}

#[gtest]
fn default_settings_survive_writing_and_reading() {
    let node = parse_node("f", &default_node()).map(|read| read == NodeSettings::default());
    expect_that!(node, ok(eq(&true)));
    let text = toml::to_string(&SidecarSettings::default()).expect("settings can be written");
    let sidecar = parse_sidecar("f", &text).map(|read| read == SidecarSettings::default());
    expect_that!(sidecar, ok(eq(&true)));
}
