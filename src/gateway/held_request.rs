//! The body of a request that no upstream has responded to yet.
//!
//! Upstreams that read requests slowly leave their bodies in the box. Where that is to be expected, a
//! body that has arrived is not sent on while those of the account, or of the box, exceed their bounds; an
//! attempt at an upstream that reads nothing ends soon, so the wait is as short. Bodies that are still
//! arriving are bounded by `client_connections`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::gateway::decisions::slow_readers::{BufferedBytes, REQUEST_TIMEOUT_MS, UNBOUNDED_BYTES};
use crate::gateway::kernel::Gateway;
use crate::gateway::response::Reason;
use crate::sync::locked;

/// How often it is checked whether there is room.
const RECHECK_PERIOD: Duration = Duration::from_millis(50);

/// Bytes that count as held as long as this value lives.
#[derive(Debug)]
pub struct HeldRequest {
    buffers: Arc<Mutex<BufferedBytes>>,
    account: u32,
    bytes: usize,
}

impl HeldRequest {
    /// Waits for room for a body of `bytes`, if bodies are bounded and it is not short.
    ///
    /// # Errors
    /// Fails when upstreams do not free any in time.
    pub async fn reserve(
        gateway: &Gateway,
        account: u32,
        bytes: usize,
    ) -> Result<Option<Arc<Self>>, Reason> {
        if !gateway.settings.slow_readers || bytes < UNBOUNDED_BYTES {
            return Ok(None);
        }
        let until = Instant::now() + Duration::from_millis(REQUEST_TIMEOUT_MS);
        loop {
            {
                let mut buffers = locked(&gateway.request_buffers);
                if buffers.has_room(account) {
                    buffers.add(account, bytes);
                    let buffers = gateway.request_buffers.clone();
                    return Ok(Some(Arc::new(Self { buffers, account, bytes })));
                }
            }
            if Instant::now() >= until {
                return Err(Reason::UpstreamsFull);
            }
            sleep(RECHECK_PERIOD).await;
        }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        locked(&self.buffers).remove(self.account, self.bytes);
    }
}
