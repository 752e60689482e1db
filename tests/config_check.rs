//! Runs `balsampitch-ctl config check` on files and looks at its exit status and output.

use std::path::PathBuf;
use std::process::Command;

const CTL: &str = env!("CARGO_BIN_EXE_balsampitch-ctl");

/// A configuration with a route, whose fields a test may add to.
fn config(version: u64, route: &str) -> String {
    format!(
        r#"{{"version":{version},"services":[{{"name":"x"}}],"routes":[{{"name":"r","authority":"a",
        "pathPrefix":"/","routeClass":"idempotent","timeoutMs":800,"backend":"x"{route}}}],
        "tenants":[{{"name":"t","apiKeys":["secret-{version}"]}}]}}"#
    )
}

fn write(test: &str, name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{name}.json"));
    std::fs::write(&path, text).expect("the directory can be written to");
    path
}

/// Guards against an exit status that lets a script send a faulty configuration, and against output
/// with an API key: the checked file, the one in force, further arguments, the exit status, and the
/// beginnings of the lines of the output.
macro_rules! statuses {
    ($($name:ident: $file:expr, $against:expr, $more:expr => $status:literal, $lines:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut command = Command::new(CTL);
            command.args(["config", "check"]);
            let file: String = $file;
            command.arg(write(stringify!($name), "next", &file));
            let against: Option<String> = $against;
            if let Some(text) = against {
                command.arg("--against").arg(write(stringify!($name), "current", &text));
            }
            let more: &[&str] = &$more;
            let output = command.args(more).output().expect("the command runs");
            let [text, errors] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
            assert_eq!(output.status.code(), Some($status), "{text}{errors}");
            assert!(!text.contains("secret") && !errors.contains("secret"), "{text}{errors}");
            assert_eq!(errors.is_empty(), $status == 0, "{errors}");
            let expected: &[&str] = &$lines;
            let lines: Vec<&str> = text.lines().collect();
            assert_eq!(lines.len(), expected.len(), "{text}");
            for (line, start) in lines.iter().zip(expected) {
                assert!(line.starts_with(start) || line.ends_with(start), "{line}");
            }
        }
    )+};
}

statuses! {
    sound: config(1, ""), None, [] => 0, ["next.json: ok, warnings: 0"];
    warning: config(1, r#","maxAttempts":0"#), None, [] => 0,
        ["warning: route r: maxAttempts", "next.json: ok, warnings: 1"];
    error: config(1, r#","maxAttempts":-1"#), None, [] => 1, ["error: route r: maxAttempts"];
    not_json: "version: 1\nsecret".to_owned(), None, [] => 1, ["error: configuration: is not JSON, see line 1"];
    unreadable_in_force: config(2, ""), Some("{".to_owned()), [] => 1, ["error: configuration: is not JSON"];
    greater_version: config(2, ""), Some(config(1, r#","maxAttempts":2"#)), [] => 0, [
        "changed: configuration: version: 1 -> 2",
        "changed: route r: maxAttempts: 2 -> not given",
        "changed: account t: apiKeys: 1 added, 1 removed",
        "next.json: ok, warnings: 0",
    ];
    same_file: config(1, ""), Some(config(1, "")), [] => 1,
        ["error: configuration: version 1 is not greater than 1", "no difference"];
    missing_file_in_force: config(1, ""), None, ["--against", "none.json"] => 1,
        ["error: configuration: could not read none.json"];
    two_files: config(1, ""), None, ["other.json"] => 2, [];
    unknown_option: config(1, ""), None, ["--strict"] => 2, [];
}
