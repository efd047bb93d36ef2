//! Compares the faults reported for settings files with expected output.
//!
//! The environment variable `UPDATE_EXPECTED` rewrites the expected output.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use clementinepond_settings::vm::VmSettings;
use std::path::Path;

fn read_result(name: &str, text: &str) -> String {
    match VmSettings::read_text(name, text) {
        Ok(_) => "valid".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn matches_expected_output(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap().to_string_lossy();
    let found = read_result(&name, &text);
    let snapshot = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("resources/test/fixtures")
        .join(path.with_extension("expected").file_name().unwrap());
    if std::env::var_os("UPDATE_EXPECTED").is_some() {
        std::fs::write(&snapshot, format!("{found}\n"))?;
    }
    let expected = std::fs::read_to_string(&snapshot)?;
    assert_eq!(found.trim(), expected.trim());
    Ok(())
}

datatest_stable::harness! {
    { test = matches_expected_output, root = "resources/test/fixtures", pattern = r"\.jsonc$" },
}
