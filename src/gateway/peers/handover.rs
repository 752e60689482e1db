//! Handover: the copying of the configuration or the list of targets from one gateway (router
//! process that sends client requests directly to targets) to another gateway that cannot read them
//! from the platform, the operator's infrastructure service. Contains both the server and the
//! client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::gateway::peers::wire_targets::{Cursor, HandoverRequest, WireTargets};
use crate::gateway::state::GatewayState;
use crate::listen;

/// Time limit for one handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a response, in bytes.
const MAX_HANDOVER_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 32;

/// Answers peers' requests for the configuration and the list of targets. Never returns.
pub async fn serve(listener: Arc<TcpListener>, gateway: Arc<GatewayState>) {
    loop {
        let stream = listen::accept(&listener).await;
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let outcome = timeout(HANDOVER_TIMEOUT, handle(stream, &gateway)).await;
            if !matches!(outcome, Ok(Ok(()))) {
                spdlog::info!("could not serve a peer's handover request", kv: {
                    outcome:? = outcome,
                });
            }
        });
    }
}

/// Fetches the configuration of the gateway at `peer`, as the operator wrote it.
///
/// # Errors
/// Returns an error if the peer cannot be reached, does not respond in time, or sends an invalid
/// response.
pub async fn fetch_config(peer: SocketAddr) -> anyhow::Result<Bytes> {
    let raw = fetch(peer, HandoverRequest::Config).await?;
    Ok(raw.into())
}

/// Fetches the list of targets of the gateway at `peer`, or only what has changed since the copy
/// `seen`.
///
/// # Errors
/// Returns an error if the peer cannot be reached, does not respond in time, or sends an invalid
/// response.
pub async fn fetch_targets(peer: SocketAddr, seen: Option<Cursor>) -> anyhow::Result<WireTargets> {
    let raw = fetch(peer, HandoverRequest::Targets(seen)).await?;
    postcard::from_bytes(&raw).context("could not decode the target list")
}

async fn fetch(peer: SocketAddr, request: HandoverRequest) -> anyhow::Result<Vec<u8>> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        let request = postcard::to_stdvec(&request)?;
        send(&mut stream, &request).await?;
        receive(&mut stream, MAX_HANDOVER_BYTES).await
    };
    timeout(HANDOVER_TIMEOUT, exchange)
        .await
        .with_context(|| format!("{peer} did not respond within {HANDOVER_TIMEOUT:?}"))?
}

async fn handle(mut stream: TcpStream, gateway: &GatewayState) -> anyhow::Result<()> {
    let data = receive(&mut stream, MAX_REQUEST_BYTES).await?;
    let request: HandoverRequest = postcard::from_bytes(&data)?;
    let response = match request {
        HandoverRequest::Config => gateway.config().source.to_vec(),
        HandoverRequest::Targets(seen) => postcard::to_stdvec(&gateway.target_list(seen))?,
    };
    send(&mut stream, &response).await
}

async fn send(stream: &mut TcpStream, data: &[u8]) -> anyhow::Result<()> {
    let length = u32::try_from(data.len())?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(data).await?;
    Ok(())
}

async fn receive(stream: &mut TcpStream, limit: usize) -> anyhow::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    ensure!(
        length <= limit,
        "message of {length} bytes exceeds the limit of {limit}"
    );
    let mut data = vec![0; length];
    stream.read_exact(&mut data).await?;
    Ok(data)
}
