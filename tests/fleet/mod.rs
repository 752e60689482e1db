//! A whole fleet of processes: platform, targets with their agents, entries.

// Each test binary uses a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;

use balsampitch::rules::change::Change;
use balsampitch::rules::record::TextDigest;
use balsampitch::rules::{Edit, EditId, Record};
use serde_json::{Value, json};

use crate::common::http::{Call, CallError, Caller, Reply};
use crate::common::process::Process;
use crate::common::{POLL_INTERVAL, TestEnv, WAIT_TIMEOUT, arg, await_until};

const STANDIN: &str = env!("CARGO_BIN_EXE_balsampitch-standin");
const ENTRY: &str = env!("CARGO_BIN_EXE_balsampitch-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_balsampitch-agent");
pub const SECRET: &str = "a key for tests only";
/// The rules that a fleet starts with.
pub const RULES: &str = include_str!("../../examples/local.rules");

/// Targets of one service.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    pub service: &'static str,
    pub count: usize,
    pub slots: u16,
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    entries: usize,
    targets: Vec<Targets>,
    links: bool,
    fenced: bool,
    without_rules: bool,
    telemetry: Value,
}

impl FleetBuilder {
    /// A fleet with so many entries and no targets.
    pub fn entries(entries: usize) -> Self {
        FleetBuilder {
            entries,
            targets: Vec::new(),
            links: false,
            fenced: false,
            without_rules: false,
            telemetry: json!({}),
        }
    }

    /// Adds targets.
    pub fn targets(mut self, service: &'static str, count: usize, slots: u16) -> Self {
        self.targets.push(Targets {
            service,
            count,
            slots,
        });
        self
    }

    /// Puts a link before each entry, which the agents connect through.
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Makes the targets refuse old fencing numbers.
    pub fn fenced(mut self) -> Self {
        self.fenced = true;
        self
    }

    /// Exports telemetry to a collector.
    pub fn collector(mut self, address: SocketAddr) -> Self {
        self.telemetry = json!({ "otlp": format!("http://{address}") });
        self
    }

    /// Starts without rules; [`Fleet::apply_rules`] brings them.
    pub fn without_rules(mut self) -> Self {
        self.without_rules = true;
        self
    }

    /// Starts the fleet and waits until all of it is ready; without rules, until it runs.
    pub async fn start(self) -> Fleet {
        Fleet::start(self).await
    }
}

/// An entry's process, with the link that its agents connect through.
pub struct EntryHost {
    pub process: Process,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    pub link: Option<LinkHost>,
    settings: Value,
    name: String,
}

/// A link's process.
pub struct LinkHost {
    pub process: Process,
    pub admin: SocketAddr,
}

/// A target's process, and that of its agent.
pub struct TargetHost {
    pub service: &'static str,
    pub target: Process,
    pub address: SocketAddr,
    pub agent: Process,
    pub admin: SocketAddr,
    settings: Value,
    name: String,
}

/// A running fleet; all of it ends when dropped.
pub struct Fleet {
    pub entries: Vec<EntryHost>,
    pub targets: Vec<TargetHost>,
    pub platform: SocketAddr,
    pub caller: Caller,
    pub log: Process,
    env: TestEnv,
    telemetry: Value,
}

/// Addresses of an entry, as the others must know them before it starts.
struct EntryAddresses {
    callers: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    /// Where agents connect.
    agent_endpoint: SocketAddr,
}

impl EntryAddresses {
    fn new(env: &TestEnv, link: bool) -> Self {
        let peer = env.address();
        EntryAddresses {
            callers: env.address(),
            peer,
            admin: env.address(),
            agent_endpoint: if link { env.address() } else { peer },
        }
    }
}

impl Fleet {
    async fn start(builder: FleetBuilder) -> Fleet {
        let env = TestEnv::new();
        let caller = Caller::new();
        let platform = env.address();
        let listen = platform.to_string();
        let log = Process::start(
            &env,
            "platform",
            STANDIN,
            &["platform", "--listen", &listen],
        );
        await_healthy(&caller, platform).await;
        if !builder.without_rules {
            apply_rules(&caller, platform, RULES).await;
        }

        let addresses: Vec<EntryAddresses> = (0..builder.entries)
            .map(|_| EntryAddresses::new(&env, builder.links))
            .collect();
        let mut fleet = Fleet {
            entries: Vec::new(),
            targets: Vec::new(),
            platform,
            caller,
            log,
            env,
            telemetry: builder.telemetry,
        };
        for own in &addresses {
            fleet.start_entry(own, &addresses);
        }
        let agent_endpoints: Vec<SocketAddr> =
            addresses.iter().map(|entry| entry.agent_endpoint).collect();
        for targets in &builder.targets {
            for _ in 0..targets.count {
                fleet.start_target(targets, &agent_endpoints, builder.fenced);
            }
        }
        for host in &fleet.targets {
            await_until("a target", || is_ok(&fleet.caller, host.address, "/state")).await;
        }
        fleet.set_hosts(|_| "live").await;
        if builder.without_rules {
            fleet.await_running().await;
        } else {
            fleet.await_ready().await;
        }
        fleet
    }

    fn start_entry(&mut self, own: &EntryAddresses, all: &[EntryAddresses]) {
        let name = format!("entry-{}", self.entries.len());
        let peers: Vec<SocketAddr> = all.iter().map(|entry| entry.peer).collect();
        let settings = json!({
            "listen": own.callers,
            "peer": own.peer,
            "admin": own.admin,
            "zone": "a",
            "entries": peers,
            "platform": self.platform,
            "secret": SECRET,
            "telemetry": self.telemetry,
        });
        let link = (own.agent_endpoint != own.peer).then(|| self.start_link(&name, own));
        let process = start_with_settings(&self.env, &name, ENTRY, &settings);
        self.entries.push(EntryHost {
            process,
            callers: own.callers,
            admin: own.admin,
            peer: own.peer,
            link,
            settings,
            name,
        });
    }

    fn start_link(&self, name: &str, own: &EntryAddresses) -> LinkHost {
        let admin = self.env.address();
        let (listen, to, orders) = (
            own.agent_endpoint.to_string(),
            own.peer.to_string(),
            admin.to_string(),
        );
        let args = ["link", "--listen", &listen, "--to", &to, "--admin", &orders];
        let process = Process::start(&self.env, &format!("{name}-link"), STANDIN, &args);
        LinkHost { process, admin }
    }

    fn start_target(&mut self, targets: &Targets, entries: &[SocketAddr], fenced: bool) {
        let name = format!("agent-{}", self.targets.len());
        let address = self.env.address();
        let admin = self.env.address();
        let listen = address.to_string();
        let mut args = vec!["target", "--listen", &listen];
        if fenced {
            args.push("--fenced");
        }
        let target = Process::start(&self.env, &format!("{name}-target"), STANDIN, &args);
        let settings = json!({
            "target": address,
            "service": targets.service,
            "slots": targets.slots,
            "zone": "a",
            "admin": admin,
            "entries": entries,
            "platform": self.platform,
            "secret": SECRET,
            "telemetry": self.telemetry,
        });
        let agent = start_with_settings(&self.env, &name, AGENT, &settings);
        self.targets.push(TargetHost {
            service: targets.service,
            target,
            address,
            agent,
            admin,
            settings,
            name,
        });
    }

    /// Applies the sample rules and waits until all are ready.
    pub async fn apply_rules(&self) {
        apply_rules(&self.caller, self.platform, RULES).await;
        self.await_ready().await;
    }

    /// Waits until all entries run and each knows all agents.
    async fn await_running(&self) {
        for entry in &self.entries {
            await_until("agents", || self.knows_agents(entry.admin)).await;
        }
    }

    async fn knows_agents(&self, admin: SocketAddr) -> bool {
        let reply = self.caller.call(admin, Call::get("/status")).await;
        let Ok(reply) = reply else { return false };
        let up = |host: &&TargetHost| reply.text().contains(&host.address.to_string());
        self.targets.iter().filter(up).count() == self.targets.len()
    }

    /// Starts an entry anew, after its process ended, with the settings it had.
    pub async fn restart_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.process.kill();
        entry.process = start_with_settings(&self.env, &entry.name, ENTRY, &entry.settings);
        self.await_ready().await;
    }

    /// Starts an agent anew, after its process ended, with the settings it had.
    pub async fn restart_agent(&mut self, index: usize) {
        let host = &mut self.targets[index];
        host.agent.kill();
        host.agent = start_with_settings(&self.env, &host.name, AGENT, &host.settings);
        self.await_ready().await;
    }

    /// Sets the platform's host list; `state` gives the state of the target at an index.
    pub async fn set_hosts(&self, state: impl Fn(usize) -> &'static str) {
        let hosts: Vec<Value> = self
            .targets
            .iter()
            .enumerate()
            .map(|(index, host)| {
                json!({
                    "host": host.address,
                    "zone": "a",
                    "service": host.service,
                    "state": state(index),
                })
            })
            .collect();
        let order = json!({ "hosts": hosts }).to_string();
        self.call_ok(self.platform, Call::post("/fault/hosts", order))
            .await;
    }

    /// Writes a file into the fleet's directory.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.env.path(name);
        std::fs::write(&path, text).expect("the directory is writable");
        path
    }

    /// Gives a stand-in an order.
    pub async fn call_ok(&self, to: SocketAddr, call: Call) {
        let reply = self
            .caller
            .call(to, call)
            .await
            .expect("a stand-in takes orders");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// What an entry has counted of an event.
    pub async fn event_count(&self, entry: usize, name: &str) -> u64 {
        let status = Call::get("/status");
        let reply = self.caller.call(self.entries[entry].admin, status).await;
        let status = reply.expect("status answers").json();
        let count = status["metrics"]["events"][name].as_u64();
        count.expect("the event is counted")
    }

    /// Calls an entry.
    pub async fn call(&self, entry: usize, call: Call) -> Result<Reply, CallError> {
        self.caller.call(self.entries[entry].callers, call).await
    }

    /// How often the targets of the fleet ran a body with this first line.
    pub async fn run_count(&self, id: &str) -> u64 {
        let mut sum = 0;
        for host in &self.targets {
            let reply = self
                .get_retrying(host.address, &format!("/count?id={id}"))
                .await;
            sum += reply.text().parse::<u64>().expect("a count is a number");
        }
        sum
    }

    /// Gets a path from a stand-in, once it is there.
    pub async fn get_retrying(&self, from: SocketAddr, path: &str) -> Reply {
        let asking = async {
            loop {
                match self.caller.call(from, Call::get(path)).await {
                    Ok(reply) => return reply,
                    Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        };
        let asked = tokio::time::timeout(WAIT_TIMEOUT, asking).await;
        asked.expect("a stand-in comes back")
    }

    /// Waits until all entries and agents that run are ready.
    pub async fn await_ready(&self) {
        let entries = self.entries.iter().map(|entry| entry.admin);
        let agents = self.targets.iter().map(|host| host.admin);
        for admin in entries.chain(agents) {
            await_until("readiness", || is_ok(&self.caller, admin, "/readyz")).await;
        }
    }
}

fn start_with_settings(env: &TestEnv, name: &str, binary: &str, settings: &Value) -> Process {
    let path = env.write(&format!("{name}.json"), settings);
    Process::start(env, name, binary, &["--settings", arg(&path)])
}

async fn is_ok(caller: &Caller, address: SocketAddr, path: &str) -> bool {
    let reply = caller.call(address, Call::get(path)).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

async fn await_healthy(caller: &Caller, address: SocketAddr) {
    await_until("health", || is_ok(caller, address, "/healthz")).await;
}

/// Appends the first version of the rules.
async fn apply_rules(caller: &Caller, platform: SocketAddr, text: &str) {
    let edit = Edit {
        id: EditId::random(),
        base: 0,
        author: "tests".into(),
        change: Change::between("", text),
        digest: TextDigest::of(text),
    };
    let record = Record::Edit(edit).encode();
    let reply = caller
        .call(platform, Call::post("/log/rules", record))
        .await;
    assert_eq!(reply.expect("the log answers").status, 200);
}
