//! Hands the configuration and the list of targets to gateways that cannot read them themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::gateway::directory::ChangeBatch;
use crate::gateway::peers::wire::{HandoverRequest, WireTargets};
use crate::gateway::state::GatewayState;
use crate::listen;

/// Longest time for a hand-over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest hand-over, in bytes.
const MAX_HANDOVER_BYTES: usize = 8 * 1024 * 1024;
/// Largest question, in bytes.
const MAX_QUESTION_BYTES: usize = 16;

/// Answers other gateways, for ever.
pub async fn serve(listener: TcpListener, gateway: Arc<GatewayState>) {
    loop {
        let stream = listen::accept(&listener).await;
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let answered = timeout(HANDOVER_TIMEOUT, answer(stream, &gateway)).await;
            if !matches!(answered, Ok(Ok(()))) {
                spdlog::info!("could not answer a gateway", kv: { outcome:? = answered });
            }
        });
    }
}

/// The raw configuration of the gateway at `peer`.
///
/// # Errors
/// Why it was not handed over.
pub async fn config(peer: SocketAddr) -> anyhow::Result<Bytes> {
    let raw = ask(peer, HandoverRequest::Config).await?;
    Ok(raw.into())
}

/// The list of targets of the gateway at `peer`.
///
/// # Errors
/// Why it was not handed over.
pub async fn targets(peer: SocketAddr) -> anyhow::Result<ChangeBatch> {
    let raw = ask(peer, HandoverRequest::Targets).await?;
    let list: WireTargets = postcard::from_bytes(&raw).context("could not read the list")?;
    Ok(list.into())
}

async fn ask(peer: SocketAddr, question: HandoverRequest) -> anyhow::Result<Vec<u8>> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        let question = postcard::to_stdvec(&question)?;
        send(&mut stream, &question).await?;
        receive(&mut stream, MAX_HANDOVER_BYTES).await
    };
    timeout(HANDOVER_TIMEOUT, exchange)
        .await
        .with_context(|| format!("no answer from {peer} in time"))?
}

async fn answer(mut stream: TcpStream, gateway: &GatewayState) -> anyhow::Result<()> {
    let question = receive(&mut stream, MAX_QUESTION_BYTES).await?;
    let question: HandoverRequest = postcard::from_bytes(&question)?;
    let answer = match question {
        HandoverRequest::Config => gateway.config().source.to_vec(),
        HandoverRequest::Targets => postcard::to_stdvec(&gateway.target_list())?,
    };
    send(&mut stream, &answer).await
}

async fn send(stream: &mut TcpStream, data: &[u8]) -> anyhow::Result<()> {
    let length = u32::try_from(data.len())?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(data).await?;
    Ok(())
}

async fn receive(stream: &mut TcpStream, most: usize) -> anyhow::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    ensure!(length <= most, "{length} bytes are more than {most}");
    let mut data = vec![0; length];
    stream.read_exact(&mut data).await?;
    Ok(data)
}
