//! Answers of workers without a length or chunks: half an answer that a crash had left was taken for
//! a complete one, and kept for repeated calls.

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
}

/// Answers one call without a length. If it survives, it answers all later requests.
async fn run_worker(listener: TcpListener, after: AfterPart) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let _ = stream.read(&mut [0; 4096]).await;
    stream.write_all(format!("{HEAD}half").as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    match after {
        AfterPart::Crash => {
            drop(listener);
            return;
        }
        AfterPart::Reset => stream.set_zero_linger().unwrap(),
        AfterPart::Close => {}
    }
    drop(stream);
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(refuse(stream));
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
#[tokio::test]
async fn half_kept(#[case] after: AfterPart, #[case] is_answer: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(run_worker(listener, after));
    let reply = HttpUpstreams::default().call(&url, &call()).await;
    let answer =
        Answer { status: 200, content_type: Some("text/plain".to_owned()), body: b"half".to_vec() };
    let expected = if is_answer { Outcome::Answered(answer) } else { Outcome::Unknown };
    assert_eq!(reply.outcome, expected);
}
