//! Answers of workers without a length or chunks: half an answer that a crash had left was taken for
//! a complete one, and kept for repeated calls.

use std::future::pending;
use std::time::Duration;

use coursestile::clock::now_ms;
use coursestile::external::PlainServices;
use coursestile::ledger::{Answer, CallKey, Outcome};
use coursestile::trace::TraceId;
use coursestile::upstream::HttpUpstreams;
use coursestile::wire::Call;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

/// What a worker does after it has sent a part of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterPart {
    Close,
    Reset,
    Crash,
    /// It crashes, and its port stays open for as long as the call lasts.
    CrashBehindPort,
    /// It crashes, and something else accepts its connections and closes them.
    CrashBehindProxy,
}

/// Answers one call with `part`. If it survives, it answers all later requests.
async fn run_worker(listener: TcpListener, after: AfterPart, part: &str) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let _ = stream.read(&mut [0; 4096]).await;
    stream.write_all(part.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    match after {
        AfterPart::Crash => {
            drop(listener);
            return;
        }
        AfterPart::CrashBehindPort => {
            drop(stream);
            return pending().await;
        }
        AfterPart::Reset => stream.set_zero_linger().unwrap(),
        AfterPart::Close | AfterPart::CrashBehindProxy => {}
    }
    drop(stream);
    while let Ok((stream, _)) = listener.accept().await {
        if after != AfterPart::CrashBehindProxy {
            tokio::spawn(refuse(stream));
        }
    }
}

async fn refuse(mut stream: TcpStream) {
    let _ = stream.read(&mut [0; 4096]).await;
    let _ = stream.write_all(b"HTTP/1.1 405 No\r\nContent-Length: 0\r\n\r\n").await;
}

fn call() -> Call {
    Call {
        key: CallKey { account: "petra".to_owned(), key: "key-1".to_owned() },
        ticket_expires_at_ms: now_ms() + 60_000,
        service: "fixtures".to_owned(),
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        content_type: None,
        body: Vec::new(),
        deadline_ms: now_ms() + 3000,
        trace: TraceId::default(),
    }
}

#[rstest]
#[case::complete(AfterPart::Close, true)]
#[case::reset(AfterPart::Reset, false)]
#[case::crash(AfterPart::Crash, false)]
#[case::crash_behind_port(AfterPart::CrashBehindPort, false)]
#[case::crash_behind_proxy(AfterPart::CrashBehindProxy, false)]
#[tokio::test]
async fn half_kept(#[case] after: AfterPart, #[case] is_answer: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { run_worker(listener, after, &format!("{HEAD}half")).await });
    let reply = HttpUpstreams::default().call(&url, &call()).await;
    let answer =
        Answer { status: 200, content_type: Some("text/plain".to_owned()), body: b"half".to_vec() };
    let expected = if is_answer { Outcome::Answered(answer) } else { Outcome::Unknown };
    assert_eq!(reply.outcome, expected);
}

/// An answer that breaks off after any of its bytes is none, with a length or in chunks.
#[rstest]
#[tokio::test]
async fn cut_anywhere(
    #[values(
        "Content-Length: 4\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"
    )]
    rest: &str,
    #[values(AfterPart::Close, AfterPart::Reset)] after: AfterPart,
) {
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{rest}");
    let upstreams = HttpUpstreams::default();
    for at in 0..whole.len() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let part = whole[..at].to_owned();
        tokio::spawn(async move { run_worker(listener, after, &part).await });
        assert_eq!(upstreams.call(&url, &call()).await.outcome, Outcome::Unknown, "{at} bytes");
    }
}
