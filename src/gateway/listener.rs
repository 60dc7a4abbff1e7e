//! Accepts client connections, and serves the load balancer's readiness check and the metrics.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::gateway::connections::set_socket_options;
use crate::gateway::decisions::configuration::ClientLimits;
use crate::gateway::kernel::Gateway;
use crate::gateway::serve::serve;
use crate::prometheus;

/// Pause after `accept` failed, usually because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Accepts client connections until the box drains.
pub async fn accept_clients(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.wait_for_phase(BoxPhase::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_client(gateway.clone(), stream));
            }
            Err(error) => {
                debug!(target: "listener", "event=accept_failed cause=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client(gateway: Arc<Gateway>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream) {
        debug!(target: "listener", "event=socket_option_refused cause=\"{error}\"");
    }
    let limits = gateway
        .state()
        .configuration
        .as_ref()
        .map(|configuration| configuration.limits.clone())
        .unwrap_or_default();
    let shared = gateway.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = shared.clone();
        async move {
            let mut response = serve(gateway.clone(), request).await;
            if gateway.phase() >= BoxPhase::Leaving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection =
        pin!(http_builder(&limits).serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = gateway.wait_for_phase(BoxPhase::Draining) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(target: "listener", "event=client_connection_broken cause=\"{error}\"");
    }
}

fn http_builder(limits: &ClientLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.header_timeout_ms.max(limits.idle_timeout_ms),
        ))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Answers the load balancer's readiness check: whether to send new connections to this box.
pub async fn serve_readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_endpoint(gateway, listener, |gateway| {
        let has_configuration = gateway.state().configuration.is_some();
        let ready = has_configuration && gateway.phase() == BoxPhase::Serving;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics.
pub async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_endpoint(gateway, listener, |_| (StatusCode::OK, prometheus::render())).await;
}

async fn serve_endpoint(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    respond: fn(&Gateway) -> (StatusCode, String),
) {
    while gateway.phase() != BoxPhase::Stopped {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(target: "listener", "event=accept_failed cause=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let (status, text) = respond(&gateway);
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let server = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = server.await {
                debug!(target: "listener", "event=question_broken cause=\"{error}\"");
            }
        });
    }
}
