use super::*;

#[test]
fn a_clock_that_goes_back_still_gives_a_later_incarnation() {
    let directory = std::env::temp_dir().join(format!("glenrail-life-{}", std::process::id()));
    let file = directory.join("life");
    let incarnations: Vec<_> =
        [70, 90, 40, 91].map(|clock| next(clock, Some(&file)).expect("an incarnation").0).to_vec();
    assert_eq!(incarnations, [70, 90, 91, 92]);
    for text in ["", "soon", "18446744073709551615"] {
        std::fs::write(&file, text).expect("a file");
        assert!(matches!(next(1, Some(&file)), Err(IncarnationError::NotANumber)), "{text}");
    }
    std::fs::remove_dir_all(&directory).expect("removed");
    assert_eq!(next(7, None).expect("an incarnation"), Incarnation(7));
}
