//! Starts the processes of a fleet, each on its own loopback address.

use std::path::PathBuf;

use super::plan::Plan;
use super::process::Process;
use super::{CLUSTER_KEY, EntryBox, program_dir};

/// Starts the processes of one fleet.
pub(super) struct Starter<'a> {
    pub(super) plan: &'a Plan,
    pub(super) dir: PathBuf,
    pub(super) network: String,
    pub(super) next_host: u8,
}

impl Starter<'_> {
    pub(super) fn address(&mut self) -> String {
        self.next_host += 1;
        format!("{}.{}", self.network, self.next_host)
    }

    pub(super) fn standin(
        &mut self,
        kind: &str,
        name: &str,
        hall: &str,
        args: &[(String, String)],
    ) -> Process {
        let address = format!("{}:7000", self.address());
        let program = program_dir().join(format!("standin-{kind}")).to_string_lossy().into_owned();
        let mut command = vec![program, "--listen".to_owned(), address.clone()];
        for (option, value) in args {
            command.extend([format!("--{option}"), value.clone()]);
        }
        Process::start(name, hall, &address, command, self.dir.join(format!("{name}.log")))
    }

    pub(super) fn entry_box(&self, name: &str, hall: &str, host: &str, settings: &str) -> EntryBox {
        let path = self.dir.join(format!("{name}.ini"));
        std::fs::write(&path, settings).expect("settings file");
        let program = program_dir().join("coursestiled").to_string_lossy().into_owned();
        let command = vec![program, path.to_string_lossy().into_owned()];
        let log = self.dir.join(format!("{name}.log"));
        let process = Process::start(name, hall, &format!("{host}:8000"), command, log);
        EntryBox { process, operators: format!("{host}:9000") }
    }

    pub(super) fn settings(
        &self,
        name: &str,
        hall: &str,
        host: &str,
        peers: &str,
        platform_url: &str,
        upstreams: &str,
    ) -> String {
        format!(
            "[box]\nname = {name}\nhall = {hall}\nregion = home\ncallers = {host}:8000\n\
             operators = {host}:9000\npeers = {host}:7000\n{peers}\n\
             cluster_key = {CLUSTER_KEY}\n\n[platform]\nurl = {platform_url}\n\n[policy]\n{}\n\n\
             [limits]\n{}\n\n{upstreams}",
            self.plan.policy, self.plan.limits
        )
    }
}
