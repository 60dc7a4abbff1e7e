//! Size and settings of a fleet.

/// Size of a data hall.
#[derive(Clone)]
pub struct HallPlan {
    /// Name of the hall.
    pub name: String,
    /// Number of entry boxes.
    pub boxes: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of workers of the plain service.
    pub workers: usize,
}

impl HallPlan {
    /// A hall of this size.
    #[must_use]
    pub fn new(name: &str, boxes: usize, engines: usize, workers: usize) -> Self {
        Self { name: name.to_owned(), boxes, engines, workers }
    }
}

/// Size and settings of a fleet.
#[derive(Clone)]
pub struct Plan {
    /// Data halls.
    pub halls: Vec<HallPlan>,
    /// Number of context stores, which all halls share.
    pub stores: usize,
    /// Capacity of a store, memory and disk together.
    pub store_bytes: u64,
    /// Rate of a store's link.
    pub link_bytes_per_ms: u64,
    /// Size of an engine's prefix cache.
    pub cache_tokens: u64,
    /// Setting `slots` of engines: requests that an engine is sent at the same time.
    pub slots: u32,
    /// Further options of the engines' command line.
    pub engine_args: Vec<(String, String)>,
    /// Further options of the workers' command line.
    pub worker_args: Vec<(String, String)>,
    /// Lines of the settings' policy section.
    pub policy: String,
    /// Lines of the settings' limits section.
    pub limits: String,
    /// Whether the boxes' settings say that engines check the fencing token of orders.
    pub checks_orders: bool,
    /// Whether connections between halls pass through relays that can be cut.
    pub hall_relays: bool,
    /// Whether connections of boxes to the platform, each other and upstreams pass through
    /// relays that can be silenced.
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
            hall_relays: false,
            relays: false,
        }
    }

    /// A single hall.
    #[must_use]
    pub fn one_hall(boxes: usize, engines: usize, workers: usize) -> Self {
        Self::new(vec![HallPlan::new("north", boxes, engines, workers)])
    }

    /// The size of a complete installation: three halls, 9 boxes, 18 engines, 2 stores and
    /// 3 workers.
    #[must_use]
    pub fn full_size() -> Self {
        let halls = ["north", "east", "west"].map(|name| HallPlan::new(name, 3, 6, 1));
        Self { stores: 2, ..Self::new(halls.to_vec()) }
    }
}
