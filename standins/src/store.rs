//! Stand-in for a context store: a memory tier and a disk tier behind a link of
//! limited rate.
//!
//! A block is written, then sealed with its length and checksum; only sealed
//! blocks are listed and served. A pin protects a block from being freed until
//! its deadline. Payloads are small; the time on the link is computed from the
//! size that the writer declares.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Mutex as AsyncMutex;

use crate::clock::now_ms;
use crate::faults::{Faults, serve};

/// Factor by which the disk tier is slower than the memory tier.
const DISK_SLOWDOWN: u64 = 3;

/// What the writer of a block declares when sealing it.
#[derive(Clone, Serialize, Deserialize)]
struct Seal {
    len_bytes: usize,
    checksum: String,
    meta: Value,
}

struct Block {
    payload: Vec<u8>,
    size_bytes: u64,
    seal: Option<Seal>,
    pinned_until_ms: u64,
    used_at_ms: u64,
}

struct Store {
    blocks: Mutex<BTreeMap<String, Block>>,
    link: AsyncMutex<()>,
    link_bytes: Mutex<u64>,
    memory_bytes: u64,
    disk_bytes: u64,
    bytes_per_ms: u64,
    faults: Faults,
}

impl Store {
    /// Waits for the link, and occupies it for the time that `size_bytes` take.
    async fn transfer(&self, size_bytes: u64, on_disk: bool) {
        let tier_slowdown = if on_disk { DISK_SLOWDOWN } else { 1 };
        let slowdown = self.faults.current().slowdown.max(1);
        let _link = self.link.lock().await;
        let busy_ms = size_bytes * tier_slowdown * slowdown / self.bytes_per_ms;
        tokio::time::sleep(Duration::from_millis(busy_ms)).await;
        *self.link_bytes.lock().expect("link lock") += size_bytes;
    }

    fn used_bytes(&self) -> u64 {
        let blocks = self.blocks.lock().expect("block lock");
        blocks.values().map(|block| block.size_bytes).sum()
    }

    /// Whether a block last used at `used_at_ms` is on the disk tier: more recently used blocks
    /// fill the memory tier.
    fn on_disk(&self, used_at_ms: u64) -> bool {
        let blocks = self.blocks.lock().expect("block lock");
        let newer = blocks.values().filter(|block| block.used_at_ms > used_at_ms);
        newer.map(|block| block.size_bytes).sum::<u64>() >= self.memory_bytes
    }
}

#[handler]
async fn write_block(
    request: &Request,
    Path(id): Path<String>,
    body: Vec<u8>,
    Data(store): Data<&Arc<Store>>,
) -> StatusCode {
    let declared = request.header("x-size-bytes").and_then(|text| text.parse().ok());
    let size_bytes = declared.unwrap_or(body.len() as u64);
    if store.used_bytes() + size_bytes > store.memory_bytes + store.disk_bytes {
        return StatusCode::INSUFFICIENT_STORAGE;
    }
    // While the transfer lasts, the block holds only half of its payload.
    let first_half = body[..body.len() / 2].to_vec();
    let block = Block {
        payload: first_half,
        size_bytes,
        seal: None,
        pinned_until_ms: 0,
        used_at_ms: now_ms(),
    };
    {
        let mut blocks = store.blocks.lock().expect("block lock");
        if blocks.contains_key(&id) {
            return StatusCode::CONFLICT;
        }
        blocks.insert(id.clone(), block);
    }
    store.transfer(size_bytes, false).await;
    let mut blocks = store.blocks.lock().expect("block lock");
    let Some(block) = blocks.get_mut(&id) else {
        return StatusCode::GONE;
    };
    block.payload = body;
    StatusCode::CREATED
}

#[handler]
fn seal_block(
    Path(id): Path<String>,
    Json(seal): Json<Seal>,
    Data(store): Data<&Arc<Store>>,
) -> StatusCode {
    let mut blocks = store.blocks.lock().expect("block lock");
    let Some(block) = blocks.get_mut(&id) else {
        return StatusCode::NOT_FOUND;
    };
    if block.payload.len() != seal.len_bytes {
        return StatusCode::CONFLICT;
    }
    block.seal = Some(seal);
    StatusCode::OK
}

#[handler]
async fn read_block(Path(id): Path<String>, Data(store): Data<&Arc<Store>>) -> Response {
    let serve_unsealed = store.faults.current().serve_unsealed;
    let found = {
        let mut blocks = store.blocks.lock().expect("block lock");
        let block = blocks.get_mut(&id).filter(|block| block.seal.is_some() || serve_unsealed);
        block.map(|block| {
            let used_at_ms = std::mem::replace(&mut block.used_at_ms, now_ms());
            (block.size_bytes, used_at_ms)
        })
    };
    let Some((size_bytes, used_at_ms)) = found else {
        return StatusCode::NOT_FOUND.into();
    };
    let on_disk = store.on_disk(used_at_ms);
    store.transfer(size_bytes, on_disk).await;
    let blocks = store.blocks.lock().expect("block lock");
    match blocks.get(&id) {
        Some(block) if store.faults.current().corrupt_reads => {
            let corrupt: Vec<u8> = block.payload.iter().map(|byte| !byte).collect();
            corrupt.into_response()
        }
        Some(block) => block.payload.clone().into_response(),
        None => StatusCode::GONE.into(),
    }
}

#[derive(Deserialize)]
struct PinRequest {
    until_ms: u64,
}

#[handler]
fn pin_block(
    Path(id): Path<String>,
    Json(pin): Json<PinRequest>,
    Data(store): Data<&Arc<Store>>,
) -> Response {
    let mut blocks = store.blocks.lock().expect("block lock");
    let Some(block) = blocks.get_mut(&id) else {
        return StatusCode::NOT_FOUND.into();
    };
    block.pinned_until_ms = block.pinned_until_ms.max(pin.until_ms);
    Json(&block.seal).into_response()
}

#[derive(Deserialize)]
struct FreeQuery {
    force: Option<bool>,
}

#[handler]
fn free_block(
    Path(id): Path<String>,
    Query(query): Query<FreeQuery>,
    Data(store): Data<&Arc<Store>>,
) -> StatusCode {
    let mut blocks = store.blocks.lock().expect("block lock");
    let Some(block) = blocks.get(&id) else {
        return StatusCode::NOT_FOUND;
    };
    if block.pinned_until_ms > now_ms() && query.force != Some(true) {
        return StatusCode::LOCKED;
    }
    blocks.remove(&id);
    StatusCode::OK
}

#[handler]
fn list_blocks(Data(store): Data<&Arc<Store>>) -> Json<Value> {
    let blocks = store.blocks.lock().expect("block lock");
    let sealed = blocks.iter().filter_map(|(id, block)| {
        let seal = block.seal.as_ref()?;
        Some(json!({ "id": id, "size_bytes": block.size_bytes, "seal": seal }))
    });
    Json(sealed.collect())
}

#[handler]
fn report_load(Data(store): Data<&Arc<Store>>) -> Json<Value> {
    Json(json!({
        "used_bytes": store.used_bytes(),
        "capacity_bytes": store.memory_bytes + store.disk_bytes,
        "link_bytes": *store.link_bytes.lock().expect("link lock"),
    }))
}

/// Runs the store until the process ends.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn run(
    listen: &str,
    memory_bytes: u64,
    disk_bytes: u64,
    bytes_per_ms: u64,
) -> std::io::Result<()> {
    let faults = Faults::default();
    let store = Arc::new(Store {
        blocks: Mutex::default(),
        link: AsyncMutex::new(()),
        link_bytes: Mutex::default(),
        memory_bytes,
        disk_bytes,
        bytes_per_ms: bytes_per_ms.max(1),
        faults: faults.clone(),
    });
    let block = get(read_block).put(write_block).delete(free_block);
    let routes = Route::new()
        .at("/blocks", get(list_blocks.data(store.clone())))
        .at("/blocks/:id", block.data(store.clone()))
        .at("/blocks/:id/seal", post(seal_block.data(store.clone())))
        .at("/blocks/:id/pin", post(pin_block.data(store.clone())))
        .at("/load", get(report_load.data(store)));
    serve(listen, routes, faults).await
}
