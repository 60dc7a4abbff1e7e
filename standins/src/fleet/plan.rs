//! What a fleet consists of.

/// What a hall has.
#[derive(Clone)]
pub struct HallPlan {
    /// Name.
    pub name: String,
    /// Entry boxes.
    pub boxes: usize,
    /// Model engines.
    pub engines: usize,
    /// Workers of the plain service.
    pub workers: usize,
}

impl HallPlan {
    /// A hall of that size.
    #[must_use]
    pub fn new(name: &str, boxes: usize, engines: usize, workers: usize) -> Self {
        Self { name: name.to_owned(), boxes, engines, workers }
    }
}

/// What a fleet has.
#[derive(Clone)]
pub struct Plan {
    /// Data halls.
    pub halls: Vec<HallPlan>,
    /// Context stores, shared by all halls.
    pub stores: usize,
    /// Bytes of a store.
    pub store_bytes: u64,
    /// Rate of a store's link.
    pub link_bytes_per_ms: u64,
    /// Size of an engine's prefix cache.
    pub cache_tokens: u64,
    /// Requests that an engine is given at once.
    pub slots: u32,
    /// Further arguments of engines.
    pub engine_args: Vec<(String, String)>,
    /// Further arguments of workers.
    pub worker_args: Vec<(String, String)>,
    /// Lines of the settings' policy section.
    pub policy: String,
    /// Lines of the settings' limits section.
    pub limits: String,
    /// Whether engines check who orders.
    pub checks_orders: bool,
    /// Whether messages between halls go over wires that can be cut.
    pub wires: bool,
    /// Whether boxes reach the platform, each other and upstreams over relays
    /// that can be silenced.
    pub relays: bool,
}

impl Plan {
    /// A fleet of these halls, without stores.
    #[must_use]
    pub fn new(halls: Vec<HallPlan>) -> Self {
        Self {
            halls,
            stores: 0,
            store_bytes: 4_000_000_000,
            link_bytes_per_ms: 2_000_000,
            cache_tokens: 65_536,
            slots: 8,
            engine_args: Vec::new(),
            worker_args: Vec::new(),
            policy: String::new(),
            limits: String::new(),
            checks_orders: true,
            wires: false,
            relays: false,
        }
    }

    /// One hall.
    #[must_use]
    pub fn one_hall(boxes: usize, engines: usize, workers: usize) -> Self {
        Self::new(vec![HallPlan::new("north", boxes, engines, workers)])
    }

    /// The size of today: three halls, 9 boxes, 18 engines, 2 stores, 3 workers.
    #[must_use]
    pub fn full_size() -> Self {
        let halls = ["north", "east", "west"].map(|name| HallPlan::new(name, 3, 6, 1));
        Self { stores: 2, ..Self::new(halls.to_vec()) }
    }
}
