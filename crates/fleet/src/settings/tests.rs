use super::*;

#[test]
fn the_defaults_are_valid_and_a_setting_out_of_bounds_is_named() {
    assert_eq!(Settings::default().check(), Ok(()));
    let wrong = Settings { probe_answer: 900, ..Settings::default() };
    assert!(matches!(wrong.check(), Err(SettingsError::TooLarge { setting: "probe_answer", .. })));
    let wrong = Settings { hello: u64::MAX, ..Settings::default() };
    assert!(matches!(wrong.check(), Err(SettingsError::TooLarge { setting: "hello", .. })));
    let wrong = Settings { origins: 0, ..Settings::default() };
    assert!(matches!(wrong.check(), Err(SettingsError::TooSmall { setting: "origins", .. })));
}
