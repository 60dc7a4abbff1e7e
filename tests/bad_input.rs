//! Invalid requests, peer messages, settings and arguments get a clear error, and a running box
//! goes on serving.

mod common;

use common::{check_completion, completion_request, start_fleet};
use coursestile::settings::Settings;
use coursestile_standins::fleet::{Plan, program_dir};
use rstest::rstest;
use serde_json::Value;

const KEY: &str = "sanam-key";

#[tokio::test]
async fn requests_refused() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let url = format!("{}/v1/completions", fleet.boxes[0].process.url());
    let cases = [
        (r#"{"model": "summary", "prompt""#.to_owned(), 400, "bad_request"),
        (r#"{"model": "summary"}"#.to_owned(), 400, "bad_request"),
        (r#"{"model": "summary", "prompt": "x", "max_tokens": 0}"#.to_owned(), 400, "bad_request"),
        (r#"{"model": "unknown", "prompt": "x"}"#.to_owned(), 503, "no_upstream"),
        (r#"{"model": "unknown@v1", "prompt": "x"}"#.to_owned(), 403, "model_not_allowed"),
        (
            format!(r#"{{"model": "summary", "prompt": "{}"}}"#, "x".repeat(2 << 20)),
            413,
            "too_long",
        ),
    ];
    for (body, status, error_type) in cases {
        let response = fleet.http.post(&url).bearer_auth(KEY).body(body).send().await.unwrap();
        assert_eq!(response.status(), status, "{error_type}");
        assert_eq!(response.headers()["x-coursestile-ran"], "not run");
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["error"]["type"], error_type);
    }
    let request = completion_request(&fleet, 0, KEY, "x", 1).header("x-timeout-ms", "soon");
    assert_eq!(request.send().await.unwrap().status(), 400);
    check_completion(&fleet, 0, KEY, "Still there?", 3).await;
}

#[tokio::test]
async fn peer_refused() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let host = fleet.boxes[0].process.address.split(':').next().unwrap();
    let socket = nng::Socket::new(nng::Protocol::Push0).unwrap();
    socket.dial(&format!("tcp://{host}:7000")).unwrap();
    for size in [0, 1, 40, 5000] {
        socket.send(nng::Message::from(vec![1_u8; size].as_slice())).unwrap();
    }
    check_completion(&fleet, 0, KEY, "Still there?", 3).await;
    let metrics =
        fleet.http.get(format!("http://{}/metrics", fleet.boxes[0].operators)).send().await;
    let metrics = metrics.unwrap().text().await.unwrap();
    assert!(metrics.contains("coursestile_peer_rejected_messages_total 4"), "{metrics}");
}

#[test]
fn findings_together() {
    let text = "[box]\nname = a\nhall = north\ncallers = nowhere\ncluster_key = 12\n\n\
                [platform]\nurl = ftp://x\n\n[policy]\nroute = random\n\n\
                [upstream.e1]\nkind = motor\n\n[upstream.s1]\nkind = store\nurl = http://x\n\n\
                [typo]\nx = 1\n";
    let report = Settings::parse("box.ini", text).unwrap_err().to_string();
    for message in [
        "box.ini:4: callers: 'nowhere' cannot be read",
        "box.ini:5: cluster_key: expected 64 hexadecimal digits",
        "box.ini:8: url: 'ftp://x' does not begin with http:// or https://",
        "box.ini:11: route: unknown policy 'random'",
        "box.ini:14: kind: unknown kind 'motor', expected engine, store or service",
        "box.ini:16: [upstream.s1] has no capacity_bytes",
        "box.ini:20: section [typo] is not known",
    ] {
        assert!(report.contains(message), "{message} is missing in {report}");
    }
}

#[rstest]
#[case(&[], 2, "no settings file given")]
#[case(&["--fly"], 2, "--fly")]
#[case(&["missing.ini"], 2, "missing.ini")]
#[case(&["--help"], 0, "Usage: coursestiled")]
#[case(&["--version"], 0, "coursestiled 0.1")]
fn daemon_arguments(#[case] args: &[&str], #[case] code: i32, #[case] expected: &str) {
    let output = std::process::Command::new(program_dir().join("coursestiled")).args(args).output();
    let output = output.unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}
