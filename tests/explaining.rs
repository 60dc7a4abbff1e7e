//! `coursestile explain` finds in the logs why a request ended as it did.

#[path = "common/site.rs"]
mod common;

use std::process::Command;

use common::start_fixture;
use coursestile::explain::{LogLine, request_timeline};
use coursestile_standins::fleet::program_dir;
use coursestile_standins::site::eventually;
use coursestile_standins::site::server::Behavior;

#[tokio::test]
async fn cause_told() {
    let fixture = start_fixture(1).await;
    fixture.servers[0].script(&[Behavior::Close, Behavior::NotRun]);
    assert_eq!(fixture.send("POST", "/once/", "r-lost").await.status(), 502);
    assert_eq!(fixture.send("POST", "/once/", "r-full").await.status(), 503);
    assert_eq!(fixture.send("POST", "/once/", "r-good").await.status(), 200);
    eventually("it is logged", async || {
        fixture.gateway.log_text().contains("answered request=r-good")
    })
    .await;
    for (id, expected_parts) in [
        ("r-lost", ["event=routed", "end=unknown cause=", "reason=\"upstream failed\" status=502"]),
        (
            "r-full",
            ["event=routed", "end=not_run cause=\"it refused with status 503\"", "status=503"],
        ),
        ("r-good", ["event=routed", "upstream=s-0", "event=answered"]),
    ] {
        let output = Command::new(program_dir().join("coursestile"))
            .args(["explain", id])
            .arg(&fixture.gateway.log)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(
            output.status.success() && expected_parts.iter().all(|part| text.contains(part)),
            "{id}: {text}"
        );
        assert!(text.contains("event=upstream_seen upstream=s-0"), "what was believed: {text}");
    }
}

#[test]
fn fields_read() {
    let text = "2026-12-02T14:10:01.250Z INFO  serve: event=refused request=r-1 \
                reason=\"no route\" status=404";
    let line = LogLine::parse(0, "a", text).unwrap();
    assert_eq!(line.field("reason"), Some("no route"));
    assert_eq!(line.field("status"), Some("404"));
    assert_eq!(line.field("upstream"), None);
    assert_eq!(LogLine::parse(0, "a", "no time at all"), None);
    let line_of_other_request = LogLine::parse(1, "a", &text.replace("r-1", "r-2")).unwrap();
    assert_eq!(request_timeline(&[line_of_other_request, line.clone()], "r-1"), [&line]);
}

/// Those that say which crashes accuse a part, and what cleared it, are found by the part.
#[test]
fn part_told() {
    let parse = |number, text: &str| {
        LogLine::parse(number, "a", &format!("2026-12-02T14:1{number}:00.000Z INFO {text}"))
            .unwrap()
    };
    let lines = [
        parse(0, "crashes: event=parts_accused upstream=i-1 incarnation=00000001 parts=0a,0b"),
        parse(1, "crashes: event=parts_accused upstream=i-2 incarnation=00000002 parts=0c"),
        parse(2, "crashes: event=part_quarantined part=0b"),
        parse(3, "crashes: event=part_withheld request=r-1 part_id=dead part=0b crashes=00000001"),
        parse(4, "crashes: event=part_withheld request=r-2 part_id=dead part=0b crashes=00000001"),
        parse(5, "serve: event=refused request=r-1 status=503"),
    ];
    let told = [&lines[0], &lines[2], &lines[3], &lines[5]];
    assert_eq!(request_timeline(&lines, "r-1"), told);
}

/// The log lines that say why a request is quarantined do not name it: they are found by its
/// fingerprint.
#[test]
fn quarantine_told() {
    let parse = |number, text: &str| {
        LogLine::parse(number, "a", &format!("2026-12-02T14:1{number}:00.000Z INFO {text}"))
            .unwrap()
    };
    let lines = [
        parse(0, "quarantine: event=request_quarantined fingerprint=00000000000000aa"),
        parse(1, "quarantine: event=request_quarantined fingerprint=00000000000000bb"),
        parse(2, "serve: event=refused request=r-1 fingerprint=00000000000000aa status=503"),
    ];
    assert_eq!(request_timeline(&lines, "r-1"), [&lines[0], &lines[2]]);
}
