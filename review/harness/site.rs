//! A small deployment: addresses, settings, gateway processes, and the record of a run.

use std::fs::{self, File};
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Connection;
use crate::sys;

pub const CLIENTS_PORT: u16 = 8749;
const READY_PORT: u16 = 8741;
const PEERS_PORT: u16 = 7580;
const TUNNELS_PORT: u16 = 7595;
const METRICS_PORT: u16 = 9464;
/// Time from SIGTERM to SIGKILL, as on the small sites.
pub const GRACE: Duration = Duration::from_secs(8);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} {text}");
    }
}

/// Addresses and files of one run.
pub struct Site {
    /// First three octets of its addresses.
    prefix: String,
    folder: PathBuf,
    record: Record,
}

impl Site {
    pub fn new(record: &Record) -> Self {
        let mut seed = u64::from(std::process::id())
            ^ SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_nanos() as u64;
        let prefix = loop {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let prefix = format!("127.{}.{}", 20 + (seed >> 40) % 200, 1 + (seed >> 50) % 250);
            let is_free = |host: u8| TcpListener::bind(format!("{prefix}.{host}:8749")).is_ok();
            if (1..20).all(is_free) {
                break prefix;
            }
        };
        let folder =
            std::env::temp_dir().join(format!("review-{}-{seed:016x}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder");
        Self { prefix, folder, record: record.clone() }
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.prefix)
    }

    pub fn store_address(&self) -> String {
        format!("{}:8744", self.ip(100))
    }

    /// Starts an entry box as the deploy file says, with the settings of a small site.
    pub fn gateway(&self, host: u8, zone: &str, seeds: &[u8]) -> Gateway {
        let ip = self.ip(host);
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{}:8745", self.ip(*seed))).collect();
        let settings = format!(
            "[box]\nname = front-{zone}-{host}\nhall = {zone}\n\
             regions = abdali:amman,sweileh:amman,marka:amman\n\
             clients = {ip}:{CLIENTS_PORT}\nready = {ip}:{READY_PORT}\npeers = {ip}:{PEERS_PORT}\n\
             tunnels = {ip}:{TUNNELS_PORT}\nmetrics = {ip}:{METRICS_PORT}\nseeds = {}\n\
             cores = 0.25\nlink_mbps = 1000.0\n\n[platform]\naddress = {}\n\n[bounds]\nstop_s = 8\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_extra = 58\nlease_ms = 3000\n\
             change_apply_ms = 2000\ndeparture_apply_ms = 2000\nheartbeat_ms = 1200\n\
             weights_apply_ms = 10000\ncold_ratio = \ncold_extra = \n",
            seeds.join(","),
            self.store_address(),
        );
        let path = self.folder.join(format!("box-{host}.ini"));
        fs::write(&path, settings).expect("settings");
        let log = self.folder.join(format!("box-{host}.log"));
        let out = File::create(&log).expect("log");
        let child = Command::new("target/release/coursestile-gateway")
            .env("COURSESTILE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("log"))
            .stderr(out)
            .spawn()
            .expect("gateway");
        self.record.line(&format!("box {ip} started"));
        Gateway { child, ip, record: self.record.clone() }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process of an entry box.
pub struct Gateway {
    child: Child,
    pub ip: String,
    record: Record,
}

impl Gateway {
    pub fn clients(&self) -> String {
        format!("{}:{CLIENTS_PORT}", self.ip)
    }

    pub fn is_ready(&self) -> bool {
        let Some(mut connection) = Connection::open(&format!("{}:{READY_PORT}", self.ip)) else {
            return false;
        };
        connection.write(b"GET /coursestile/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        connection.message().is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(Instant::now() < until, "a box is not ready");
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("box {} ready", self.ip));
    }

    pub fn signal(&self, name: &str, number: i32) {
        self.record.line(&format!("{name} to box {}", self.ip));
        sys::signal(self.child.id(), number);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_some())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if !self.has_ended() {
            sys::signal(self.child.id(), sys::SIGKILL);
        }
        let _ = self.child.wait();
    }
}
