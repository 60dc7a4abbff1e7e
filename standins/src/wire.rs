//! The network between two data halls: relays connections, and can be cut.
//!
//! A cut, by the fault `outage`, breaks open connections and takes no new ones.

use std::time::Duration;

use poem::Route;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

use crate::faults::{Faults, serve};

/// How often a connection looks whether it is cut.
const CUT_POLL: Duration = Duration::from_millis(20);

/// Relays from each address to its partner until the process ends.
///
/// # Errors
/// Fails when an address cannot be bound.
pub async fn run(control: &str, pairs: Vec<(String, String)>) -> std::io::Result<()> {
    let faults = Faults::default();
    for (from, to) in pairs {
        let listener = TcpListener::bind(&from).await?;
        tokio::spawn(accept(listener, to, faults.clone()));
    }
    serve(control, Route::new(), faults).await
}

async fn accept(listener: TcpListener, to: String, faults: Faults) {
    while let Ok((stream, _)) = listener.accept().await {
        if !faults.now().outage {
            tokio::spawn(relay(stream, to.clone(), faults.clone()));
        }
    }
}

async fn relay(mut near: TcpStream, to: String, faults: Faults) {
    let Ok(mut far) = TcpStream::connect(&to).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        () = cut(faults) => {}
    }
}

async fn cut(faults: Faults) {
    while !faults.now().outage {
        tokio::time::sleep(CUT_POLL).await;
    }
}
