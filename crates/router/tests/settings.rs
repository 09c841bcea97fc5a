//! Tests of the settings that the platform renders from the template of the deploy file.

#![allow(clippy::unwrap_used)] // test helpers panic on failure, as the tests do

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use oriole_adapter::settings;
use oriole_router::settings::Settings;

/// The fields of the platform's settings file that are figures, with their values on the operators' sheets.
const FIGURES: [(&str, &str); 12] = [
    ("platform.min_ttl_ms", "1000"),
    ("bounds.drain_ms", "2000"),
    ("bounds.grace_s", "8"),
    ("heartbeat_ms", "1200"),
    ("bounds.stall_ms", "2500"),
    ("bounds.config_apply_ms", "2000"),
    ("bounds.contact_ms", "3000"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_min_retries", "198"),
    ("bounds.budget_window_s", "10"),
    ("limits.memory_mb", "260"),
    ("limits.file_descriptors", "4100"),
];

const TEXTS: [(&str, &str); 7] = [
    ("node_name", "frontend-1"),
    ("zone", "zone-1"),
    ("listen.front", "10.1.0.40:8227"),
    ("listen.ready", "10.1.0.40:8220"),
    ("ip", "10.1.0.40"),
    ("internal_ports.0", "7340"),
    ("platform.address", "10.200.1.7:8223"),
];

/// Writes a settings file, rendered from the template with `value` as the figure `field`, and returns its path.
fn render(field: &str, value: &str) -> PathBuf {
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/entry.toml");
    let mut text = fs::read_to_string(template).unwrap();
    text = text.replace(&format!("{{{{{field}}}}}"), value);
    for (name, value) in FIGURES.iter().chain(&TEXTS) {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "{text}");
    let name = format!("oriole-settings-{}-{field}-{value}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Renders the template with `value` as the figure `field`, and loads the settings.
fn load(field: &str, value: &str) -> Result<Settings, settings::Error> {
    let path = render(field, value);
    let loaded = settings::load(&path);
    fs::remove_file(&path).unwrap();
    loaded
}

/// Guards against an entry that does not start since a figure of the platform is a fraction, or a whole number that is
/// spelled as one.
#[test]
fn every_figure_of_the_platform_may_be_a_fraction() {
    for (field, value) in FIGURES {
        for fraction in [value.to_owned(), format!("{value}.0"), format!("{value}.5")] {
            // A value on the sheets may be a fraction already.
            let fraction = if value.contains('.') { value } else { &fraction };
            let loaded = load(field, fraction);
            assert!(loaded.is_ok(), "{field} = {fraction}: {}", loaded.unwrap_err());
        }
    }
    assert_eq!(load("bounds.grace_s", "7.5").unwrap().times.grace_ms, 7500);
    assert_eq!(load("bounds.grace_s", "8").unwrap().times.grace_ms, 8000);
    assert_eq!(load("bounds.budget_window_s", "0.25").unwrap().retries.window_ms, 250);
    assert_eq!(load("bounds.drain_ms", "1999.6").unwrap().times.drain_ms, 2000);
}

/// Guards against figures that are none being taken for zero or for another number.
#[test]
fn a_figure_that_is_no_number_of_at_least_zero_is_refused() {
    for value in ["-1", "-0.5", "nan", "inf", "\"8\"", "true"] {
        assert!(load("bounds.drain_ms", value).is_err(), "{value}");
    }
}

/// Guards against an entry that ends at its start and does not say why.
#[test]
fn an_entry_whose_settings_are_refused_says_why() {
    let path = render("bounds.contact_ms", "many");
    let output = Command::new(env!("CARGO_BIN_EXE_oriole-router"))
        .arg("run")
        .env("ORIOLELANDING_NODE_FILE", &path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("contact-ms = many"), "{text:?}");
}
