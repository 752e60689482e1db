//! Command line of `balsampitch-standin`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use lexopt::prelude::*;
use tokio::net::TcpListener;

use crate::cmd::{Failure, Program, shutdown};
use crate::listen;
use crate::standin::log::DEFAULT_RETAIN;
use crate::standin::{Host, Link, Platform, Target, TargetOptions};

const HELP: &str = "\
Test doubles of the platform's services, a target and a network link, with fault injection.

Usage:
  balsampitch-standin platform --listen ADDR [--hosts FILE] [--retain N]
  balsampitch-standin target --listen ADDR [--slots N] [--fenced]
  balsampitch-standin link --listen ADDR --to ADDR --admin ADDR

Options:
  --listen ADDR   Address to serve on, as ip:port
  --hosts FILE    File with the initial host list, in JSON
  --retain N      Records that each stream of the log retains
  --slots N       Requests that the target runs concurrently
  --fenced        The target rejects outdated fencing tokens
  --to ADDR       Address that the link forwards connections to
  --admin ADDR    Address where the link accepts fault commands
  -h, --help      Print this help
  -V, --version   Print the version
";

const PROGRAM: Program = Program {
    name: "balsampitch-standin",
    about: "simulates the platform's services, a target or a network link",
};

/// A parsed command line.
#[derive(Debug)]
enum Command {
    Help,
    Version,
    Platform(PlatformArgs),
    Target(TargetArgs),
    Link(LinkArgs),
}

#[derive(Debug)]
struct PlatformArgs {
    listen: SocketAddr,
    hosts: Option<PathBuf>,
    retain: usize,
}

#[derive(Debug)]
struct TargetArgs {
    listen: SocketAddr,
    options: TargetOptions,
}

#[derive(Debug)]
struct LinkArgs {
    listen: SocketAddr,
    to: SocketAddr,
    admin: SocketAddr,
}

/// Options of all commands, before required ones are checked.
#[derive(Debug, Default)]
struct Args {
    listen: Option<SocketAddr>,
    hosts: Option<PathBuf>,
    retain: Option<usize>,
    slots: Option<u16>,
    fenced: bool,
    to: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

/// Entry point of the binary.
pub fn main() -> ExitCode {
    PROGRAM.exit_code(run())
}

fn run() -> Result<(), Failure> {
    match parse(lexopt::Parser::from_env())? {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("{}", PROGRAM.version()),
        Command::Platform(args) => serve(platform(args))?,
        Command::Target(args) => serve(target(args))?,
        Command::Link(args) => serve(link(args))?,
    }
    Ok(())
}

/// Serves until a signal shuts the process down.
fn serve(serving: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    shutdown::block_on(|stop| async move {
        tokio::select! {
            ended = serving => ended,
            () = stop.cancelled() => Ok(()),
        }
    })
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let name = match parser.next()? {
        Some(Short('h') | Long("help")) => return Ok(Command::Help),
        Some(Short('V') | Long("version")) => return Ok(Command::Version),
        Some(Value(name)) => name.string()?,
        Some(arg) => return Err(arg.unexpected()),
        None => return Err("a command is missing; see --help".into()),
    };
    let mut args = Args::default();
    while let Some(arg) = parser.next()? {
        match (name.as_str(), arg) {
            (_, Short('h') | Long("help")) => return Ok(Command::Help),
            (_, Long("listen")) => args.listen = Some(parser.value()?.parse()?),
            ("platform", Long("hosts")) => args.hosts = Some(parser.value()?.into()),
            ("platform", Long("retain")) => args.retain = Some(parser.value()?.parse()?),
            ("target", Long("slots")) => args.slots = Some(parser.value()?.parse()?),
            ("target", Long("fenced")) => args.fenced = true,
            ("link", Long("to")) => args.to = Some(parser.value()?.parse()?),
            ("link", Long("admin")) => args.admin = Some(parser.value()?.parse()?),
            (_, arg) => return Err(arg.unexpected()),
        }
    }
    command(&name, args)
}

fn command(name: &str, args: Args) -> Result<Command, lexopt::Error> {
    let listen = args.listen.ok_or("--listen is missing")?;
    match name {
        "platform" => Ok(Command::Platform(PlatformArgs {
            listen,
            hosts: args.hosts,
            retain: args.retain.unwrap_or(DEFAULT_RETAIN),
        })),
        "target" if args.slots == Some(0) => Err("--slots must be at least 1".into()),
        "target" => Ok(Command::Target(TargetArgs {
            listen,
            options: TargetOptions {
                slots: args.slots,
                fenced: args.fenced,
            },
        })),
        "link" => Ok(Command::Link(LinkArgs {
            listen,
            to: args.to.ok_or("--to is missing")?,
            admin: args.admin.ok_or("--admin is missing")?,
        })),
        _ => Err(format!("no such command: {name}").into()),
    }
}

async fn platform(args: PlatformArgs) -> anyhow::Result<()> {
    let platform = Platform::new(args.retain);
    if let Some(path) = &args.hosts {
        platform.set_hosts(read_hosts(path)?, Duration::ZERO);
    }
    platform.serve(bind(args.listen).await?).await;
    Ok(())
}

async fn target(args: TargetArgs) -> anyhow::Result<()> {
    let target = Target::new(args.options);
    target.serve(bind(args.listen).await?).await;
    Ok(())
}

async fn link(args: LinkArgs) -> anyhow::Result<()> {
    let link = Link::new(args.to);
    let listener = bind(args.listen).await?;
    let admin = bind(args.admin).await?;
    tokio::join!(link.clone().serve(listener), link.serve_admin(admin));
    Ok(())
}

fn read_hosts(path: &Path) -> anyhow::Result<Vec<Host>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read the host list {}", path.display()))?;
    serde_json::from_str(&text)
        .with_context(|| format!("could not parse the host list {}", path.display()))
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    listen::tcp(addr, "callers of the stand-in").await
}
