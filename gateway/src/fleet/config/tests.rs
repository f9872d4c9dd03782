use super::*;

fn error_text(text: &str) -> String {
    let path = std::env::temp_dir().join(format!("glenrail-fleet-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    read(&path).expect_err(text).to_string()
}

#[test]
fn a_faulty_file_is_rejected_by_line_or_key() {
    let good = "[fleet]\nbind = '127.0.0.1:0'\nkey_file = 'k'\n";
    for (more, named) in [
        ("bind_too = 1", "line 4"),
        ("seeds = ['here']", "line 4"),
        ("probe = 'often'", "line 4"),
        ("probe = 5", "fleet.probe"),
        ("probe_answer = 900", "fleet.probe_answer"),
        ("exchanges = 0", "fleet.exchanges"),
        ("exchange_time = 0", "fleet.exchange_time"),
        ("[flet]", "line 4"),
    ] {
        let text = error_text(&format!("{good}{more}\n"));
        assert!(text.contains(named), "{more}: {text}");
    }
    assert!(error_text("[fleet]\nbind = '127.0.0.1:0'\n").contains("key_file"));
    assert!(error_text("").contains("fleet"));
}

/// Guards the example file for operators: a value in it that differs from the default would be mistaken for the
/// default.
#[test]
fn the_shipped_file_shows_every_setting_with_its_default() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/fleet.toml");
    let section = read(Path::new(path)).expect("it loads");
    assert_eq!(section.settings(), Settings::default());
    let text = std::fs::read_to_string(path).expect("text");
    let shown = |key: &str| {
        let shows = |line: &str| line.trim_start_matches("# ").starts_with(&format!("{key} = "));
        assert!(text.lines().any(shows), "{key}");
    };
    let settings_text = format!("{:?}", Settings::default());
    let keys =
        settings_text.trim_start_matches("Settings { ").split(", ").filter_map(|f| f.split(':').next());
    keys.for_each(shown);
    for key in ["name", "member", "bind", "advertise", "seeds", "key_file", "life_file"] {
        shown(key);
    }
    assert_eq!((section.name, section.exchange_time, section.exchanges), (default_name(), 5_000, 4));
    assert!(text.contains("exchange_time = 5000") && text.contains("exchanges = 4"));
}
