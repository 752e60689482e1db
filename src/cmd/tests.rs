use super::*;
use crate::settings::CtlSettings;

const PROGRAM: Program = Program {
    name: "balsampitch-test",
    about: "is a test",
};

fn started(args: &[&str]) -> Result<Start<CtlSettings>, Failure> {
    PROGRAM.start_from(args.iter().map(OsString::from))
}

/// Writes a settings file, which the test removes.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("balsampitch-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary directory can be written");
    path
}

macro_rules! misuses {
    ($($name:ident: $args:expr => $message:literal;)+) => {$(
        #[test]
        fn $name() {
            let failure = started(&$args).expect_err("misuse");
            assert!(matches!(failure, Failure::Usage(_)), "{failure}");
            assert!(failure.to_string().contains($message), "{failure}");
        }
    )+};
}

misuses! {
    no_settings: [] => "no --settings FILE";
    check_without_settings: ["--check"] => "no --settings FILE";
    unknown_option: ["--fast"] => "--fast";
    unexpected_word: ["now"] => "now";
    settings_without_value: ["--settings"] => "--settings";
    absent_settings: ["--settings", "absent.json"] => "could not read settings absent.json";
}

macro_rules! starts {
    ($($name:ident: $text:literal, $more:expr => $result:pat,)+) => {$(
        #[test]
        fn $name() {
            let path = settings_file(stringify!($name), $text);
            let mut args = vec!["--settings", path.to_str().expect("a plain path")];
            args.extend($more as [&str; _]);
            let result = started(&args);
            std::fs::remove_file(&path).expect("the file is still there");
            assert!(matches!(result, $result), "{result:?}");
        }
    )+};
}

starts! {
    usable_settings_run: "{}", [] => Ok(Start::Run(_)),
    check_stops_there: "{}", ["--check"] => Ok(Start::Done),
    check_finds_faults: r#"{"platform":"0.0.0.0:1"}"#, ["--check"] => Err(Failure::Usage(_)),
    text_that_is_no_json: "platform", [] => Err(Failure::Usage(_)),
}

#[test]
fn help_and_version_need_no_settings() {
    for option in ["--help", "-h", "--version", "-V"] {
        assert!(matches!(started(&[option]), Ok(Start::Done)));
    }
}
