//! balsampitch: a router fleet that shares capacity fairly between client accounts.
//!
//! An entry is a router process that accepts client requests, queues them and dispatches them to
//! agents. An agent is the process beside a target that runs dispatched requests. The platform is
//! the operator's infrastructure service with an append-only log and a host list. A gateway is a
//! router process that sends client requests directly to targets, without agents. Usage is charged
//! in slot time, the time for which a request occupies one of a target's slots.
//!
//! The decision logic ([`share`], [`scheduler`], [`slot_offers`], [`attempt`], [`dispatch_table`],
//! [`claim`], [`rules`]) does no I/O: it takes the time and events and returns values. The services
//! around it ([`entry`], [`agent`]) do the input and output.

pub mod admin;
pub mod affinity;
pub mod agent;
pub mod attempt;
pub mod auth;
pub mod bench;
pub mod claim;
pub mod cmd;
pub mod conn;
pub mod cost_estimator;
pub mod dispatch_ids;
pub mod dispatch_table;
pub mod entry;
pub mod exchange;
pub mod gateway;
pub mod hop_by_hop;
pub mod ids;
pub mod listen;
pub mod local;
pub mod log;
pub mod platform;
pub mod problem;
pub mod quarantine;
pub mod queue;
pub mod registry;
pub mod replay_buffer;
pub mod retry_budget;
pub mod rules;
pub mod scheduler;
pub mod settings;
pub mod share;
pub mod slot_offers;
pub mod slowdown;
pub mod standin;
pub mod telemetry;
pub mod units;
pub mod wire;
