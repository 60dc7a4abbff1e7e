//! Open connections that go silent: the other side lives and takes new ones, but
//! nothing moves on the old, and nothing says so.

use std::time::{Duration, Instant};

use coursestile_standins::site::silencer::Silencer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A path whose open connections are silenced passes nothing on them, shows a
/// probe no answer, and takes new ones.
#[tokio::test]
async fn path_silences() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("address");
    let target = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    let path = Silencer::start(&target).await;
    let mut old = TcpStream::connect(&path.address).await.expect("connection");
    assert!(echoes(&mut old).await);
    let limit = Some(Duration::from_millis(500));
    socket2::SockRef::from(&old).set_tcp_user_timeout(limit).expect("option");
    path.silence_open();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let since = Instant::now();
    assert!(!echoes(&mut old).await);
    // The system itself gives up: no byte was acknowledged.
    let ended = old.read(&mut [0; 1]).await;
    assert!(ended.is_err(), "{ended:?}");
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    let mut new = TcpStream::connect(&path.address).await.expect("connection");
    assert!(echoes(&mut new).await);
    assert_eq!(path.opened(), 2);
    path.reset_open();
    assert!(new.read(&mut [0; 1]).await.is_err());
}

async fn echoes(stream: &mut TcpStream) -> bool {
    stream.write_all(b"ping").await.expect("write");
    let mut answer = [0; 4];
    let read = timeout(Duration::from_millis(300), stream.read_exact(&mut answer));
    matches!(read.await, Ok(Ok(_)))
}
