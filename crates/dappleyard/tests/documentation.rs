//! Relative links in Markdown pages point to existing files.

use std::path::{Path, PathBuf};

use googletest::prelude::*;

fn collect_pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        let skipped =
            name.starts_with('.') || ["target", "out", "journal"].contains(&name.as_str());
        if path.is_dir() && !skipped {
            collect_pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

/// Targets of `[text](target)` outside fenced code blocks.
fn link_targets(text: &str) -> Vec<String> {
    let mut inside_code = false;
    let mut found = Vec::new();
    for line in text.lines() {
        if line.starts_with("```") {
            inside_code = !inside_code;
        }
        if inside_code {
            continue;
        }
        for part in line.split("](").skip(1) {
            if let Some((target, _)) = part.split_once(')') {
                found.push(target.to_owned());
            }
        }
    }
    found
}

#[gtest]
fn every_link_to_a_file_leads_to_one() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    collect_pages(&root, &mut found);
    expect_that!(found.len(), gt(40));
    let mut checked = 0;
    for page in found {
        let text = std::fs::read_to_string(&page).unwrap_or_default();
        for target in link_targets(&text) {
            let file = target.split('#').next().unwrap_or_default();
            if file.is_empty() || file.contains("://") {
                continue;
            }
            let folder = page.parent().unwrap_or(&root);
            expect_that!(
                folder.join(file).exists(),
                eq(true),
                "{} -> {target}",
                page.display()
            );
            checked += 1;
        }
    }
    expect_that!(checked, gt(40));
}
