//! The operator's commands, as a process of their own, against a running fleet.

mod common;
mod fleet;

use std::process::{Command, Output};

use common::await_until;
use common::http::Call;
use fleet::{Fleet, FleetBuilder, RULES};

const CTL: &str = env!("CARGO_BIN_EXE_balsampitch-ctl");

/// Runs a command with the fleet's addresses.
async fn output(fleet: &Fleet, words: &[&str]) -> Output {
    let admin: Vec<String> = fleet.entries.iter().map(|e| e.admin.to_string()).collect();
    let mut command = Command::new(CTL);
    command.args(words).arg("--admin").arg(admin.join(","));
    command.args(["--platform", &fleet.platform.to_string()]);
    let running = tokio::task::spawn_blocking(move || command.output());
    running.await.expect("no panic").expect("the command runs")
}

/// What a command prints that does its job.
async fn ctl(fleet: &Fleet, words: &[&str]) -> String {
    let output = output(fleet, words).await;
    let failure = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{words:?}: {failure}");
    String::from_utf8(output.stdout).expect("commands print text")
}

/// Columns may be of any width.
fn assert_shows(text: &str, wanted: &[&str]) {
    let text = text.split(' ').filter(|part| !part.is_empty());
    let text = text.collect::<Vec<_>>().join(" ");
    for wanted in wanted {
        assert!(text.contains(wanted), "no {wanted:?} in:\n{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waited_is_explained() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 1, 1)
        .start()
        .await;
    let first = Call::post("/model/run?ms=300", "first").key("school-key");
    let (caller, to) = (fleet.caller.clone(), fleet.entries[0].callers);
    let first = tokio::spawn(async move { caller.call(to, first).await });
    await_until("the first to run", || async {
        fleet.run_count("first").await == 1
    })
    .await;
    let second = Call::post("/model/run?ms=1", "second").key("club-key");
    let reply = fleet.call(0, second).await.expect("the entry answers");
    assert!(first.await.expect("no panic").is_ok());

    let id = reply.headers["x-request-id"].to_str().expect("text");
    await_until("its end", || async {
        ctl(&fleet, &["explain", id]).await.contains("over")
    })
    .await;
    let text = ctl(&fleet, &["explain", id]).await;
    let host = fleet.targets[0].address.to_string();
    assert_shows(
        &text,
        &[
            "at_ms step",
            "queued",
            "no free slot: 1 waiting",
            "sent",
            &host,
        ],
    );
    assert_shows(
        &text,
        &[
            "answered",
            "status 200",
            "finished",
            "whole, ",
            "charged",
            "over",
        ],
    );
    assert_shows(
        &text,
        &[id, "account club", "service model", "outcome whole"],
    );
    assert!(!text.contains("club-key"), "{text}");

    let none = output(&fleet, &["explain", &"0".repeat(32)]).await;
    assert_eq!(none.status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_targets_is_explained() {
    let fleet = FleetBuilder::entries(1)
        .targets("orders", 1, 1)
        .start()
        .await;
    let call = Call::post("/orders/crash", "poison").key("club-key");
    let reply = fleet.call(0, call).await.expect("the entry answers");
    assert_eq!(reply.status, 502);
    let id = reply.headers["x-request-id"].to_str().expect("text");
    await_until("its end", || async {
        ctl(&fleet, &["explain", id]).await.contains("over")
    })
    .await;
    let text = ctl(&fleet, &["explain", id]).await;
    assert_shows(
        &text,
        &[
            "connection broke before an answer",
            "crashed target",
            "unknown",
        ],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_shares_are_shown() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 1, 1)
        .start()
        .await;
    let call = Call::post("/model/run?ms=50", "x").key("school-key");
    let reply = fleet.call(1, call).await.expect("the entry answers");
    assert_eq!(reply.status, 200);
    for entry in &fleet.entries {
        let admin = entry.admin.to_string();
        let shown = ["status", "shares"].map(|word| (word, admin.clone()));
        for (word, admin) in shown {
            assert_shows(&ctl(&fleet, &[word]).await, &[&admin, "model", "school"]);
        }
    }
    let shares = ctl(&fleet, &["shares"]).await;
    assert_shows(&shares, &["service waiting", "account level_ms"]);
    assert!(!shares.contains('{'), "{shares}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_are_applied_shown_and_listed() {
    let fleet = FleetBuilder::entries(1).start().await;
    let next = format!("{RULES}service extra slots=1  # asked by Mere\n");
    let file = fleet.write("next.rules", &next);
    ctl(
        &fleet,
        &["rules", "apply", common::arg(&file), "--author", "Mere"],
    )
    .await;
    await_until("the version to be in force", || async {
        ctl(&fleet, &["status"])
            .await
            .contains("rules.version    2")
    })
    .await;
    assert_shows(
        &ctl(&fleet, &["rules", "show"]).await,
        &["service extra slots=1", "2"],
    );
    assert_shows(
        &ctl(&fleet, &["rules", "history"]).await,
        &["Mere", "tests"],
    );

    let stale = [
        "rules",
        "apply",
        common::arg(&file),
        "--author",
        "Tom",
        "--based-on",
        "1",
    ];
    let lost = output(&fleet, &stale).await;
    assert_eq!(lost.status.code(), Some(1));
    assert_shows(&String::from_utf8_lossy(&lost.stderr), &["Mere"]);
}
